package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/policy"
)

const (
	// longest is the longest answer, in means.
	longest = 4
	// prefill is a replica's time to the first token.
	prefill = 150 * time.Millisecond
	// perToken is a replica's time between tokens in a full batch.
	perToken = 20 * time.Millisecond
	// exchangeInterval is the time between entries' words of their usage.
	exchangeInterval = time.Second
	// hop is the time from a caller to a replica.
	hop = 2 * time.Millisecond
)

// service is the time that an answer holds a slot.
func service(tokens float64) time.Duration {
	return prefill + time.Duration(tokens*float64(perToken))
}

// site is the size of a deployment.
type site struct {
	name     string
	entries  int
	replicas int
	slots    int
}

// bagmati and savannah are today's deployments.
var (
	bagmati  = site{name: "Bagmati np-central", entries: 8, replicas: 10, slots: 8}
	savannah = site{name: "Savannah Lane tt-south", entries: 8, replicas: 10, slots: 12}
)

// rate is the answers a second, of a mean length, that make up a part of what
// a site's replicas can give.
func (st site) rate(load, tokens float64) float64 {
	return load * float64(st.replicas*st.slots) / service(tokens).Seconds()
}

// replica serves jobs in slots, and queues what is beyond them.
type replica struct {
	running int
	waiting []*job
}

// fleet is entries before replicas.
type fleet struct {
	*loop
	site     site
	rng      *rand.Rand
	queues   []scheduler
	replicas []*replica
	jobs     []*job
}

func newFleet(st site, seed uint64, make func(fl *fleet) scheduler) *fleet {
	fl := &fleet{loop: newLoop(), site: st, rng: rand.New(rand.NewPCG(seed, 1))}
	for range st.replicas {
		fl.replicas = append(fl.replicas, &replica{})
	}
	for range st.entries {
		qu := make(fl)
		qu.setCapacity(fl.now, float64(st.replicas*st.slots)/float64(st.entries))
		fl.queues = append(fl.queues, qu)
	}
	fl.every(exchangeInterval, fl.exchange)
	fl.every(100*time.Millisecond, func() {
		for n := range fl.queues {
			fl.dispatch(n)
		}
	})
	return fl
}

// exchange tells each entry of the others' demand and usage, as peers do.
func (fl *fleet) exchange() {
	total := 0.0
	demands := make([]float64, len(fl.queues))
	for n, qu := range fl.queues {
		demands[n] = qu.demand()
		total += demands[n]
	}
	for n, qu := range fl.queues {
		share := admission.CapacityShare(len(fl.queues), demands[n], total-demands[n])
		qu.setCapacity(fl.now, share*float64(fl.site.replicas*fl.site.slots))
	}
	fl.exchangeUsage()
}

func (fl *fleet) exchangeUsage() {
	reports := make([]admission.Report, len(fl.queues))
	for n, qu := range fl.queues {
		if ou, ok := qu.(*ours); ok {
			reports[n] = ou.queue.Report(fl.now)
		}
	}
	for n, qu := range fl.queues {
		ou, ok := qu.(*ours)
		if !ok {
			continue
		}
		others := admission.Fleet{Capacity: admission.Slots(fl.site.replicas * fl.site.slots)}
		for m, re := range reports {
			if m != n {
				others.Organisations = append(others.Organisations, re.Organisations...)
				others.Levels = append(others.Levels, re.Levels...)
			}
		}
		ou.queue.SetFleet(fl.now, others)
	}
}

// stream is a Poisson stream of requests.
type stream struct {
	org    policy.OrganisationID
	share  float64
	rank   policy.RankID
	order  int64
	rate   float64
	limit  time.Duration
	from   time.Duration
	until  time.Duration
	tokens float64
}

// offer lets a stream's requests come, spread over the entries at random.
func (fl *fleet) offer(sm stream) {
	if sm.rate <= 0 {
		return
	}
	started := fl.now
	var arrive func()
	arrive = func() {
		wait := time.Duration(fl.rng.ExpFloat64() / sm.rate * float64(time.Second))
		fl.after(wait, func() {
			if sm.until == 0 || fl.now.Sub(started) < sm.until {
				fl.arrive(sm)
				arrive()
			}
		})
	}
	fl.after(sm.from, arrive)
}

func (fl *fleet) arrive(sm stream) {
	tokens := math.Ceil(math.Min(longest*sm.tokens, fl.rng.ExpFloat64()*sm.tokens))
	jo := &job{
		org: sm.org, share: max(1, sm.share), rank: sm.rank, order: sm.order, tokens: tokens, expected: sm.tokens,
		arrived: fl.now, deadline: fl.now.Add(sm.limit), entry: fl.rng.IntN(len(fl.queues)),
	}
	fl.jobs = append(fl.jobs, jo)
	fl.queues[jo.entry].offer(fl.now, jo)
	fl.dispatch(jo.entry)
}

// dispatch sends what an entry's queue lets go.
func (fl *fleet) dispatch(n int) {
	for _, jo := range fl.queues[n].next(fl.now) {
		fl.send(jo)
	}
}

// send gives a job to the less loaded of two replicas.
func (fl *fleet) send(jo *job) {
	choices := 2
	if jo.order == 0 {
		choices = 6
	}
	a := fl.replicas[fl.rng.IntN(len(fl.replicas))]
	for range choices - 1 {
		b := fl.replicas[fl.rng.IntN(len(fl.replicas))]
		if b.running+len(b.waiting) < a.running+len(a.waiting) {
			a = b
		}
	}
	jo.replica = a
	jo.sent++
	if a.running < fl.site.slots {
		fl.start(jo)
		return
	}
	// Engines honour priorities in their own queue.
	i := len(a.waiting)
	for i > 0 && a.waiting[i-1].order > jo.order {
		i--
	}
	a.waiting = slices.Insert(a.waiting, i, jo)
}

func (fl *fleet) start(jo *job) {
	re := jo.replica
	re.running++
	jo.firstToken = fl.now.Add(prefill + hop)
	fl.after(service(jo.tokens), func() {
		jo.ended = fl.now.Add(hop)
		re.running--
		if len(re.waiting) > 0 {
			next := re.waiting[0]
			re.waiting = re.waiting[1:]
			fl.start(next)
		}
		fl.queues[jo.entry].done(fl.now, jo)
		fl.dispatch(jo.entry)
	})
}

// settled lists the jobs that arrived after the warm-up and whose deadlines
// have passed.
func (fl *fleet) settled(warmUp time.Time, keep func(jo *job) bool) []*job {
	var out []*job
	for _, jo := range fl.jobs {
		if jo.arrived.After(warmUp) && jo.deadline.Before(fl.now) && keep(jo) {
			out = append(out, jo)
		}
	}
	return out
}

func ofRank(id policy.RankID) func(jo *job) bool {
	return func(jo *job) bool { return jo.rank == id }
}

func ofOrg(id policy.OrganisationID) func(jo *job) bool {
	return func(jo *job) bool { return jo.org == id }
}

// firstTokenP95 is in seconds, over the jobs that were answered.
func firstTokenP95(jos []*job) float64 {
	var waits []float64
	for _, jo := range jos {
		if !jo.firstToken.IsZero() && !jo.refused {
			waits = append(waits, jo.firstToken.Sub(jo.arrived).Seconds())
		}
	}
	return quantile(waits, 0.95)
}

func quantile(values []float64, at float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(at*float64(len(values))))]
}

// answered gives the share of jobs answered in time.
func answered(jos []*job) float64 {
	if len(jos) == 0 {
		return math.NaN()
	}
	n := 0
	for _, jo := range jos {
		if jo.inTime() {
			n++
		}
	}
	return float64(n) / float64(len(jos))
}

// slotSeconds adds up the slot time of jobs that ended within a window.
func (fl *fleet) slotSeconds(from time.Time, keep func(jo *job) bool, inTime bool) float64 {
	sum := 0.0
	for _, jo := range fl.jobs {
		if jo.ended.IsZero() || jo.ended.Before(from) || jo.ended.After(fl.now) || !keep(jo) || inTime && !jo.inTime() {
			continue
		}
		sum += service(jo.tokens).Seconds()
	}
	return sum
}

func everyJob(*job) bool { return true }
