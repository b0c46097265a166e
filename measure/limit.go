package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

const (
	// limitRouters is the number of routers that the site is to grow to. All replicas of
	// one service name the limit namedLimit; replicaDemand is what is asked for, for each.
	limitRouters   = 420
	limitReplicas  = 60
	replicaDemand  = 8.0
	namedLimit     = limit.Rate(2)
	limitDomains   = 3
	limitRunLength = 60 * time.Second
	// limitWindow, limitFactor and limitSlack are those of the target: the requests that a
	// replica may get in some limitWindow. minLimitUse is the part of the limits that is to
	// be used.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	minLimitUse = 0.6
)

// limitRun simulates routers that send each request to a replica whose limit allows it, if
// there is one.
type limitRun struct {
	*eventLoop
	rng     *rand.Rand
	routers []peer.Holder
	domains [limitReplicas]policy.FailureDomain
	// buckets are by router and replica, without those that have no share.
	buckets [limitRouters]map[int]*limit.Bucket
	arrived [limitReplicas][]time.Time
}

func newLimitRun(seed uint64) *limitRun {
	lr := &limitRun{eventLoop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 24))}
	domain := func(n int) policy.FailureDomain { return policy.FailureDomain(fmt.Sprint("domain-", n%limitDomains)) }
	for n := range limitRouters {
		lr.routers = append(lr.routers, peer.Holder{VM: vm.ID(fmt.Sprint("router-", n)), FailureDomain: domain(n)})
	}
	for n := range lr.domains {
		lr.domains[n] = domain(n)
	}
	return lr
}

// shared divides a limit among routers as in production.
func (lr *limitRun) shared(router, replica int) limit.Rate {
	return limit.Share(lr.routers, lr.routers[router], lr.domains[replica], policy.EndpointID(fmt.Sprint("replica-", replica)), namedLimit)
}

// alone lets each router use the whole limit.
func (lr *limitRun) alone(int, int) limit.Rate { return namedLimit }

// simulate runs the requests, and returns the most that a replica got in a window and the
// part of what the limits allow that was used.
func (lr *limitRun) simulate(share func(router, replica int) limit.Rate) (most int, used float64) {
	for router := range limitRouters {
		lr.buckets[router] = map[int]*limit.Bucket{}
		for replica := range limitReplicas {
			if sh := share(router, replica); sh > 0 {
				lr.buckets[router][replica] = limit.NewBucket(lr.now)
				lr.buckets[router][replica].SetShare(lr.now, sh)
			}
		}
	}
	lr.arrive()
	lr.run(limitRunLength)
	total := 0
	for _, ats := range lr.arrived {
		total += len(ats)
		for i := range ats {
			n := 0
			for _, at := range ats[i:] {
				if at.Sub(ats[i]) < limitWindow {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most, float64(total) / (float64(namedLimit) * limitRunLength.Seconds() * limitReplicas)
}

func (lr *limitRun) arrive() {
	lr.after(time.Duration(lr.rng.ExpFloat64()/(replicaDemand*limitReplicas)*float64(time.Second)), func() {
		lr.send(lr.rng.IntN(limitRouters))
		lr.arrive()
	})
}

// send sends a request to the first replica that allows it, beginning at a random one.
func (lr *limitRun) send(router int) {
	first := lr.rng.IntN(limitReplicas)
	for n := range limitReplicas {
		replica := (first + n) % limitReplicas
		if bu, ok := lr.buckets[router][replica]; ok && bu.Take(lr.now) {
			lr.arrived[replica] = append(lr.arrived[replica], lr.now)
			return
		}
	}
}

// measureLimits measures what replicas that name a limit get at the size that the site is
// to grow to.
func measureLimits(seed uint64) Row {
	alone := newLimitRun(seed)
	aloneMost, aloneUsed := alone.simulate(alone.alone)
	production := newLimitRun(seed)
	most, used := production.simulate(production.shared)
	allowed := limitFactor*limitWindow.Seconds()*float64(namedLimit) + limitSlack
	return Row{
		Measure:   fmt.Sprintf("most requests in 4 s at a replica that names a limit of 2 a second and is asked for 8, %d routers; part of the limits used", limitRouters),
		Baselines: fmt.Sprintf("each router by itself: %d, %.2f", aloneMost, aloneUsed),
		Figure:    fmt.Sprintf("%d, %.2f", most, used),
		Target:    fmt.Sprintf("<= %.0f; >= %.2f", allowed, minLimitUse),
		Met:       float64(most) <= allowed && used >= minLimitUse,
	}
}
