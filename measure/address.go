package measure

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"tanagerpoint.example/tanager/directory"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

const (
	addressCallers = 400
	addressEntries = 8
	// addressKeep is how long a caller uses the addresses of one address answer.
	addressKeep = 2 * time.Second
	// failureDetection is how long a failed entry stays in the address answers.
	failureDetection = 2 * time.Second
	// requestInterval is the shortest time between requests of a caller; each
	// caller adds up to 50 ms to it.
	requestInterval = 100 * time.Millisecond
	// Every second entry is down from entriesStopAt to entriesRestartAt.
	entriesStopAt    = 30 * time.Second
	entriesRestartAt = 50 * time.Second
	addressRunLength = 90 * time.Second
)

// addressRun simulates callers that look up the entries' addresses while every
// second entry stops and restarts.
type addressRun struct {
	*eventLoop
	rng     *rand.Rand
	started time.Time
	// detectsFailures makes answers leave out the entries that have been down for
	// longer than failureDetection.
	detectsFailures bool
	// counts are the requests received by each entry.
	counts [addressEntries]int
	// lateRequests are those sent to an entry that is down at a time when no caller
	// should use its address any more.
	lateRequests int
}

func newAddressRun(seed uint64, detectsFailures bool) *addressRun {
	ar := &addressRun{eventLoop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 6)), detectsFailures: detectsFailures}
	ar.started = ar.now
	return ar
}

func (ar *addressRun) elapsed() time.Duration { return ar.now.Sub(ar.started) }

func (ar *addressRun) down(n int) bool {
	return n%2 == 0 && ar.elapsed() > entriesStopAt && ar.elapsed() < entriesRestartAt
}

// resolve returns the entries of an address answer to a caller in a random failure
// domain, in the order of the answer.
func (ar *addressRun) resolve() []int {
	var cas []directory.Candidate
	for n := range addressEntries {
		if ar.detectsFailures && ar.down(n) && ar.elapsed() > entriesStopAt+failureDetection {
			continue
		}
		name := strconv.Itoa(n)
		cas = append(cas, directory.Candidate{VM: vm.ID(name), Address: name, FailureDomain: policy.FailureDomain(strconv.Itoa(n % 3))})
	}
	callerDomain := policy.FailureDomain(strconv.Itoa(ar.rng.IntN(3)))
	var out []int
	for _, ad := range directory.Select(cas, func(vm.ID) bool { return false }, callerDomain, ar.rng) {
		n, err := strconv.Atoi(ad.Address)
		if err == nil {
			out = append(out, n)
		}
	}
	return out
}

// startCaller starts a caller that sends its requests to the first address of its
// address answer. It asks for a new answer when addressKeep has passed or a request
// went to an entry that is down; that request is not repeated.
func (ar *addressRun) startCaller() {
	var addresses []int
	var until time.Time
	ar.every(requestInterval+time.Duration(ar.rng.IntN(50))*time.Millisecond, func() {
		if ar.now.After(until) {
			addresses, until = ar.resolve(), ar.now.Add(addressKeep)
		}
		n := addresses[0]
		if !ar.down(n) {
			ar.counts[n]++
			return
		}
		until = time.Time{}
		if ar.elapsed() > entriesStopAt+failureDetection+addressKeep {
			ar.lateRequests++
		}
	})
}

// run runs the simulation. counts holds only requests from entriesStopAt on.
func (ar *addressRun) run() {
	for range addressCallers {
		ar.startCaller()
	}
	ar.eventLoop.run(entriesStopAt)
	ar.counts = [addressEntries]int{}
	ar.eventLoop.run(addressRunLength - entriesStopAt)
}

// maxToMean returns the ratio of the most requests received by an entry to their
// mean, over the entries that were never down.
func (ar *addressRun) maxToMean() float64 {
	most, sum := 0, 0
	for n := 1; n < addressEntries; n += 2 {
		most = max(most, ar.counts[n])
		sum += ar.counts[n]
	}
	return float64(most) / (float64(sum) / (addressEntries / 2))
}

// measureAddresses measures how evenly callers spread over the other entries while
// half of the entries are replaced, and how many requests still go to those.
func measureAddresses(seed uint64) Row {
	production, baseline := newAddressRun(seed, true), newAddressRun(seed, false)
	production.run()
	baseline.run()
	return Row{
		Measure:   "address answers while half of the entries are replaced: max/mean of those that stay; requests to dead VMs after 2 s and the answer's keep",
		Baselines: fmt.Sprintf("plain random over the VM list: %.2f, %d", baseline.maxToMean(), baseline.lateRequests),
		Figure:    fmt.Sprintf("%.2f, %d", production.maxToMean(), production.lateRequests),
		Target:    "<= 1.2; none", Met: production.maxToMean() <= 1.2 && production.lateRequests == 0,
	}
}
