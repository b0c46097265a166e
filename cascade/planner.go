package cascade

import (
	"math"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// urgencyFactor is by how much a request is worth more than one of the next rank, and than
	// one of the same rank whose route has the next one.
	urgencyFactor = 1.4
	// outputWeight is the number of tokens of a prompt that a generated token counts for.
	outputWeight = 10
	// toleratedBacklog is the mean backlog, as a part of a route's latency target, at which the
	// price of room stays as it is.
	toleratedBacklog = 0.15
	// minGain is the least gain of quality for which a request is run again: confidences
	// are rough.
	minGain = 0.1
	// maxSize is the largest size of a request, as a multiple of its route's mean, that adds to
	// the answer's value.
	maxSize = 4
	// repeatCost is the cost of one more run when as much of the retry budget is used beyond
	// freeBudget as is left, as a part of an average request's value.
	repeatCost = 0.05
	freeBudget = 0.75
	// maxRoutes is the number of routes of which means are kept.
	maxRoutes = 1024
	// minBacklog is the least backlog assumed when the chance to be in time is estimated.
	minBacklog = 0.02
)

// Option is a model that a request can run on.
type Option struct {
	Model policy.ModelID
	// Work is the time that an idle endpoint takes until the answer begins, in seconds.
	Work float64
}

// Task is a request for which a model is to be chosen.
type Task struct {
	Service policy.ServiceID
	Route   policy.RouteID
	// Urgency is the request's rank, 0 for the most urgent, and RouteUrgency that of its route:
	// they differ where the caller's organisation has a rank of its own.
	Urgency, RouteUrgency int64
	// Prompt is the length of the prompt, Output the expected length of the answer, 0 if that
	// is unknown.
	Prompt, Output policy.Tokens
	// Options are the models, smallest first.
	Options []Option
	// Backlog is the mean work queued at an endpoint, in seconds.
	Backlog float64
	// Target is the route's latency target, Left the part of it that is left, in seconds.
	Target, Left float64
	// Pause is the longest pause of a stream that counts as in time, in seconds.
	Pause float64
	// BudgetUsed is the part of the retry budget that is used, from 0 to 1.
	BudgetUsed float64
	// Repeatable reports whether the request may be run again.
	Repeatable bool
}

// Reason is why a model was chosen.
type Reason string

// The reasons for choices.
const (
	// ReasonGain: the answer expected of a larger model is worth the room.
	ReasonGain Reason = "gain"
	// ReasonExplored: the choice was made to learn from it.
	ReasonExplored Reason = "explored"
	// ReasonConfident: no larger model is expected to be much better.
	ReasonConfident Reason = "confident"
	// ReasonNoTime: no better answer can begin within the latency target.
	ReasonNoTime Reason = "no_time"
	// ReasonPrice: a better answer is not worth the room.
	ReasonPrice Reason = "price"
	// ReasonThreshold: the confidence is above or below the threshold of Escalation.
	ReasonThreshold Reason = "threshold"
	// ReasonNoPlace: no endpoint had a place for the larger model, or no retry was left.
	ReasonNoPlace Reason = "no_place"
)

// Step is a choice: the index of the model, the chance that its answer is good, the price of
// room, and the reason.
type Step struct {
	Index    int
	Expected float64
	Price    float64
	Reason   Reason
}

// Planner chooses whether an answer, of which the caller has received nothing yet, is dropped for
// one of a larger model. Requests start on the smallest model, whose answer costs little and shows
// which of them need a larger one. A Planner is made for fleets whose room for the larger models
// is scarce: a request gets the model whose answer is expected to be worth most to its caller
// after the room that it takes, at the market's price. What an answer is worth is the chance that
// it is good and begins in time, times the request's size and rank. A Planner is not safe for
// concurrent use.
type Planner struct {
	rng         *rand.Rand
	calibration calibration
	markets     map[policy.ServiceID]*market
	// outputs are the means of the lengths of answers that callers expect, sizes those of
	// requests' tokens.
	outputs, sizes map[policy.RouteID]*bin
}

// NewPlanner returns a Planner that has seen no answers. seed initialises the random numbers
// used for exploration.
func NewPlanner(seed uint64) *Planner {
	return &Planner{
		rng: rand.New(rand.NewPCG(seed, 1)), calibration: newCalibration(),
		markets: map[policy.ServiceID]*market{}, outputs: map[policy.RouteID]*bin{}, sizes: map[policy.RouteID]*bin{},
	}
}

// Begin adds a request, before its first run, and updates the price of room. Options must not be
// empty.
func (pl *Planner) Begin(now time.Time, ta Task) {
	ma := pl.market(now, ta.Service)
	pl.addSize(ta)
	ma.add(pl.value(ta), ta.Options[len(ta.Options)-1].Work, toleratedBacklog*max(minBacklog, ta.Target))
	ma.update(now, ta.Backlog)
}

// Next chooses what follows on an answer of the model with index from and its confidence: the
// same model to keep the answer, or a larger one that the request is run on instead.
func (pl *Planner) Next(now time.Time, ta Task, from int, co Confidence) Step {
	ma := pl.market(now, ta.Service)
	if !ta.Repeatable || from == len(ta.Options)-1 {
		return Step{Index: from, Expected: float64(co.quality()), Price: ma.price, Reason: ReasonConfident}
	}
	st := pl.best(ma, ta, from, co)
	if larger := len(ta.Options) - 1 - from; st.Index != from && larger > 1 && pl.rng.Float64() < exploreShare {
		st.Index, st.Reason = from+1+pl.rng.IntN(larger), ReasonExplored
	}
	return st
}

// best returns the step that is worth most after an answer.
func (pl *Planner) best(ma *market, ta Task, from int, co Confidence) Step {
	out, best := Step{Index: from, Expected: float64(co.quality()), Price: ma.price, Reason: ReasonConfident}, 0.0
	known := float64(co.quality())
	for n := from + 1; n < len(ta.Options); n++ {
		expected := pl.expected(ta, from, n, co)
		if float64(expected)-known < minGain {
			continue
		}
		gain := float64(expected)*ta.chanceInTime(n, ta.Left) - known
		if gain < minGain {
			out.Reason = ReasonNoTime
			continue
		}
		if out.Index == from {
			out.Reason = ReasonPrice
		}
		if net := pl.value(ta)*gain - ma.perSecond()*ta.room(n) - ta.costOfRun()*ma.value; net > best {
			out, best = Step{Index: n, Expected: float64(expected), Price: ma.price, Reason: ReasonGain}, net
		}
	}
	return out
}

// expected returns the quality to expect of a larger model's answer.
func (pl *Planner) expected(ta Task, from, to int, co Confidence) quality {
	reach := float64(to-from) / float64(len(ta.Options)-1-from)
	return pl.calibration.expected(stepKey{ta.Route, ta.Options[from].Model, ta.Options[to].Model}, co, reach)
}

// AddStep adds the confidence of a larger model's answer, and that of the answer that was
// dropped for it.
func (pl *Planner) AddStep(ta Task, from, to int, before, after Confidence) {
	pl.calibration.addStep(stepKey{ta.Route, ta.Options[from].Model, ta.Options[to].Model}, before, after)
}

// Price returns the price of a service's room.
func (pl *Planner) Price(id policy.ServiceID) float64 {
	if ma, ok := pl.markets[id]; ok {
		return ma.price
	}
	return idlePrice
}

func (pl *Planner) market(now time.Time, id policy.ServiceID) *market {
	ma, ok := pl.markets[id]
	if !ok {
		ma = newMarket(now)
		pl.markets[id] = ma
	}
	return ma
}

// addSize adds a request to the means of its route.
func (pl *Planner) addSize(ta Task) {
	if ta.Output > 0 {
		addMean(pl.outputs, ta.Route, float64(ta.Output))
	}
	addMean(pl.sizes, ta.Route, pl.tokens(ta))
}

func addMean(means map[policy.RouteID]*bin, id policy.RouteID, value float64) {
	entryOf(means, id, maxRoutes).add(value)
}

// value returns what a good answer is worth to the caller, as a multiple of that to an average
// request of the most urgent rank: half for each request, half in proportion to its tokens.
func (pl *Planner) value(ta Task) float64 {
	size := 1.0
	if mean, ok := pl.sizes[ta.Route]; ok && mean.mean > 0 {
		size = min(maxSize, pl.tokens(ta)/mean.mean)
	}
	return (1 + size) / 2 * math.Pow(urgencyFactor, -float64(max(0, ta.Urgency)+max(0, ta.RouteUrgency)))
}

// tokens returns a request's tokens, those of the answer with their weight.
func (pl *Planner) tokens(ta Task) float64 {
	output := float64(ta.Output)
	if bi, ok := pl.outputs[ta.Route]; ok && output <= 0 {
		output = bi.mean
	}
	return max(1, float64(ta.Prompt)+outputWeight*output)
}

// chanceInTime returns the chance that a run which starts now begins its answer within left
// seconds, if the wait for the endpoint's earlier work is distributed exponentially. It is 0 if
// the mean wait does not leave the time.
func (ta Task) chanceInTime(option int, left float64) float64 {
	spare, wait := left-ta.Options[option].Work, max(minBacklog, ta.Backlog)
	if spare <= wait {
		return 0
	}
	return 1 - math.Exp(-spare/wait)
}

// room returns the room that a run takes, in seconds of engine time. A long prompt counts for more:
// it stops the streams that share its endpoint, which are late if that takes as long as a pause may.
func (ta Task) room(option int) float64 {
	work := ta.Options[option].Work
	if ta.Pause <= 0 {
		return work
	}
	return work * (1 + work/ta.Pause)
}

// costOfRun returns the cost of one more run for the retry budget, as a part of an average
// request's value.
func (ta Task) costOfRun() float64 {
	used := min(0.98, max(0, ta.BudgetUsed))
	return repeatCost * max(0, used-freeBudget) / (1 - used)
}
