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
	// maxLengthRatio bounds the ratio of an answer's length to the mean length.
	maxLengthRatio = 4
	// prefill is the time from the start of a job to its first token.
	prefill = 150 * time.Millisecond
	// perToken is the time between tokens in a full batch.
	perToken = 20 * time.Millisecond
	// exchangeInterval is the time between two exchanges of the entries' state.
	exchangeInterval = time.Second
	// networkDelay is the time for a message between a caller and a replica.
	networkDelay = 2 * time.Millisecond
)

// serviceTime returns how long an answer of a number of tokens occupies a slot.
func serviceTime(tokens float64) time.Duration {
	return prefill + time.Duration(tokens*float64(perToken))
}

// site is the size of a deployment; slots are those of one replica.
type site struct {
	name     string
	entries  int
	replicas int
	slots    int
}

// bagmati and savannah are the two deployments.
var (
	bagmati  = site{name: "Bagmati np-central", entries: 8, replicas: 10, slots: 8}
	savannah = site{name: "Savannah Lane tt-south", entries: 8, replicas: 10, slots: 12}
)

// rate returns the number of requests per second that cause a load, which is a
// multiple of the site's capacity. tokens is the mean length of their answers.
func (st site) rate(load, tokens float64) float64 {
	return load * float64(st.replicas*st.slots) / serviceTime(tokens).Seconds()
}

// replica runs jobs in slots and queues those that find no free slot.
type replica struct {
	running int
	waiting []*job
}

// fleet simulates the entries of a site, each with a queue, and its replicas.
type fleet struct {
	*eventLoop
	site     site
	rng      *rand.Rand
	queues   []scheduler
	replicas []*replica
	jobs     []*job
}

func newFleet(st site, seed uint64, newScheduler func(fl *fleet) scheduler) *fleet {
	fl := &fleet{eventLoop: newEventLoop(), site: st, rng: rand.New(rand.NewPCG(seed, 1))}
	for range st.replicas {
		fl.replicas = append(fl.replicas, &replica{})
	}
	for range st.entries {
		qu := newScheduler(fl)
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

// exchange divides the capacity among the entries by their demand, and tells each
// the others' usage, as the exchange between peers does in production.
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

// exchangeUsage tells each production queue the usage at the other entries. Baseline
// queues do not use it.
func (fl *fleet) exchangeUsage() {
	reports := make([]admission.Report, len(fl.queues))
	for n, qu := range fl.queues {
		if pq, ok := qu.(*productionQueue); ok {
			reports[n] = pq.queue.Report(fl.now)
		}
	}
	for n, qu := range fl.queues {
		pq, ok := qu.(*productionQueue)
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
		pq.queue.SetFleet(fl.now, others)
	}
}

// stream is a Poisson stream of requests of one organisation and rank.
type stream struct {
	org policy.OrganisationID
	// share is the organisation's weight in fair sharing; less than 1 counts as 1.
	share float64
	rank  policy.RankID
	// order is that of the rank: 0 is the most urgent.
	order int64
	// rate is in requests per second.
	rate float64
	// timeLimit is the time from a request to its deadline.
	timeLimit time.Duration
	// from and until bound the stream, counted from when it is added; an until of 0
	// sets no end.
	from  time.Duration
	until time.Duration
	// tokens is the mean length of the answers.
	tokens float64
}

// addStream starts a stream, whose requests go to entries chosen at random.
func (fl *fleet) addStream(sm stream) {
	if sm.rate <= 0 {
		return
	}
	started := fl.now
	var scheduleNext func()
	scheduleNext = func() {
		wait := time.Duration(fl.rng.ExpFloat64() / sm.rate * float64(time.Second))
		fl.after(wait, func() {
			if sm.until == 0 || fl.now.Sub(started) < sm.until {
				fl.arrive(sm)
				scheduleNext()
			}
		})
	}
	fl.after(sm.from, scheduleNext)
}

// arrive offers a new job of a stream to the queue of an entry.
func (fl *fleet) arrive(sm stream) {
	tokens := math.Ceil(math.Min(maxLengthRatio*sm.tokens, fl.rng.ExpFloat64()*sm.tokens))
	jo := &job{
		org: sm.org, share: max(1, sm.share), rank: sm.rank, order: sm.order, tokens: tokens, expectedTokens: sm.tokens,
		arrived: fl.now, deadline: fl.now.Add(sm.timeLimit), entry: fl.rng.IntN(len(fl.queues)),
	}
	fl.jobs = append(fl.jobs, jo)
	fl.queues[jo.entry].offer(fl.now, jo)
	fl.dispatch(jo.entry)
}

// dispatch sends the jobs that an entry's queue starts.
func (fl *fleet) dispatch(n int) {
	for _, jo := range fl.queues[n].next(fl.now) {
		fl.send(jo)
	}
}

// send sends a job to the least loaded of two replicas chosen at random, or of six
// for the most urgent rank.
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
	// Engines order their own queue by priority.
	i := len(a.waiting)
	for i > 0 && a.waiting[i-1].order > jo.order {
		i--
	}
	a.waiting = slices.Insert(a.waiting, i, jo)
}

// start runs a job in a free slot of its replica.
func (fl *fleet) start(jo *job) {
	re := jo.replica
	re.running++
	jo.firstToken = fl.now.Add(prefill + networkDelay)
	fl.after(serviceTime(jo.tokens), func() {
		jo.ended = fl.now.Add(networkDelay)
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

// dueJobs returns the jobs that arrived after the warm-up, whose deadlines have
// passed and for which keep returns true.
func (fl *fleet) dueJobs(warmUp time.Time, keep func(jo *job) bool) []*job {
	var out []*job
	for _, jo := range fl.jobs {
		if jo.arrived.After(warmUp) && jo.deadline.Before(fl.now) && keep(jo) {
			out = append(out, jo)
		}
	}
	return out
}

func hasRank(id policy.RankID) func(jo *job) bool {
	return func(jo *job) bool { return jo.rank == id }
}

func hasOrganisation(id policy.OrganisationID) func(jo *job) bool {
	return func(jo *job) bool { return jo.org == id }
}

// firstTokenP95 returns the 95th percentile of the time to the first token, in
// seconds, over the jobs that were started.
func firstTokenP95(jos []*job) float64 {
	var waits []float64
	for _, jo := range jos {
		if !jo.firstToken.IsZero() && !jo.refused {
			waits = append(waits, jo.firstToken.Sub(jo.arrived).Seconds())
		}
	}
	return quantile(waits, 0.95)
}

// quantile sorts the values and returns the one at a share of them; NaN if there
// are none.
func quantile(values []float64, at float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(at*float64(len(values))))]
}

// shareInTime returns the share of jobs that were answered in time; NaN if there
// are none.
func shareInTime(jos []*job) float64 {
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

// slotSeconds returns the total slot time, in seconds, of the jobs that ended since
// from and for which keep returns true; with inTime only of those answered in time.
func (fl *fleet) slotSeconds(from time.Time, keep func(jo *job) bool, inTime bool) float64 {
	sum := 0.0
	for _, jo := range fl.jobs {
		if jo.ended.IsZero() || jo.ended.Before(from) || jo.ended.After(fl.now) || !keep(jo) || inTime && !jo.inTime() {
			continue
		}
		sum += serviceTime(jo.tokens).Seconds()
	}
	return sum
}

func anyJob(*job) bool { return true }
