package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/policy"
)

const (
	// escalationRequests is the number of requests in each replay, at engineCount engines.
	escalationRequests = 8_000
	engineCount        = 8
	// latencyTarget and pauseTarget are those of all routes, in seconds.
	latencyTarget = 2.5
	pauseTarget   = 1.2
	// opinionError is the standard deviation of a model's confidence from its margin.
	opinionError = 0.15
)

// mix is a load of requests on engines that serve several models, cheapest first.
type mix struct {
	name string
	// abilities are the difficulties, from 0 to 1, up to which the models' answers are good;
	// paces are the models' times relative to the smallest one's, whose prompts take
	// secondsPerToken.
	abilities, paces []float64
	secondsPerToken  float64
	// difficulty maps a uniform number to a difficulty.
	difficulty func(float64) float64
	// load is the small model's share of the engines' time if it runs all requests.
	load float64
	// ranks is the number of ranks among which the requests are divided evenly.
	ranks int
	// drift is the ability of the smallest model in the second half, 0 if it stays.
	drift float64
}

// mixes are the loads that the escalation is measured with.
func mixes() []mix {
	uniform := func(u float64) float64 { return u }
	easy := func(u float64) float64 { return u * u }
	two, three := []float64{0.55, 1}, []float64{0.5, 0.8, 1}
	return []mix{
		{name: "easy, 3 models", abilities: three, paces: []float64{1, 3, 10}, difficulty: easy, load: 0.08, ranks: 1},
		{name: "hard, 3 models", abilities: three, paces: []float64{1, 3, 10}, difficulty: math.Sqrt, load: 0.1, ranks: 1},
		{name: "hard, 2 models", abilities: two, paces: []float64{1, 10}, difficulty: math.Sqrt, load: 0.08, ranks: 1},
		{name: "even, 4 models", abilities: []float64{0.4, 0.6, 0.8, 1}, paces: []float64{1, 2, 4, 10}, difficulty: uniform, load: 0.1, ranks: 1},
		{name: "scarce, 2 ranks, 2 models", abilities: two, paces: []float64{1, 10}, difficulty: uniform, load: 0.2, ranks: 2},
		{name: "drift, 3 models", abilities: three, paces: []float64{1, 3, 10}, difficulty: uniform, load: 0.08, ranks: 1, drift: 0.2},
	}
}

// chooser chooses the model that a request starts on, and what follows on an answer.
type chooser interface {
	first(now time.Time, ta cascade.Task) int
	next(now time.Time, ta cascade.Task, from int, co cascade.Confidence) int
	learn(ta cascade.Task, from, to int, before, after cascade.Confidence)
}

// always runs each request on one model: the smallest, or the largest.
type always struct{ largest bool }

func (al always) first(_ time.Time, ta cascade.Task) int {
	if al.largest {
		return len(ta.Options) - 1
	}
	return 0
}

func (al always) next(_ time.Time, _ cascade.Task, from int, _ cascade.Confidence) int { return from }

func (al always) learn(cascade.Task, int, int, cascade.Confidence, cascade.Confidence) {}

// threshold goes from the smallest model to the largest below a confidence that falls with the
// largest model's work and with the square of the backlog, whoever the caller is.
type threshold struct{ always }

func (th threshold) next(_ time.Time, ta cascade.Task, from int, co cascade.Confidence) int {
	last := len(ta.Options) - 1
	work, wait := ta.Options[last].Work, ta.Backlog+ta.Options[last].Work
	bound := max(12, 85-50*work-600*ta.Backlog*ta.Backlog*work-20*wait/ta.Left)
	if from == last || wait >= ta.Left || 100*float64(co) >= bound {
		return from
	}
	return last
}

// planned is the planner that routers use.
type planned struct{ *cascade.Planner }

func (pl planned) first(now time.Time, ta cascade.Task) int {
	pl.Begin(now, ta)
	return 0
}

func (pl planned) next(now time.Time, ta cascade.Task, from int, co cascade.Confidence) int {
	return pl.Next(now, ta, from, co).Index
}

func (pl planned) learn(ta cascade.Task, from, to int, before, after cascade.Confidence) {
	pl.AddStep(ta, from, to, before, after)
}

// replay is the state of a mix that is played against a chooser.
type replay struct {
	mix     mix
	chooser chooser
	rng     *rand.Rand
	// queued is the work at each engine, in seconds.
	queued [engineCount]float64
	// earned and owed are the values of good answers in time, and of all, by rank.
	earned, owed [2]float64
}

// play plays a mix, and returns the shares of the value earned, of all requests and of the most
// urgent rank. A request of a rank is worth as much as three of the next.
func (mi mix) play(seed uint64, ch chooser) (all, urgent float64) {
	rp := &replay{mix: mi, chooser: ch, rng: rand.New(rand.NewPCG(seed, 7))}
	const meanTokens = 4000
	if rp.mix.secondsPerToken == 0 {
		rp.mix.secondsPerToken = 10e-6
	}
	gap := meanTokens * rp.mix.secondsPerToken / (mi.load * engineCount)
	now := time.Unix(1_800_000_000, 0)
	for n := range escalationRequests {
		rp.advance(gap)
		now = now.Add(time.Duration(gap * float64(time.Second)))
		if mi.drift > 0 && n == escalationRequests/2 {
			rp.mix.abilities = append([]float64{mi.drift}, mi.abilities[1:]...)
		}
		rp.serve(now, n%mi.ranks, policy.Tokens(500+2*(meanTokens-500)*rp.rng.Float64()))
	}
	return (rp.earned[0] + rp.earned[1]) / (rp.owed[0] + rp.owed[1]), rp.earned[0] / rp.owed[0]
}

// advance lets the engines work for a time.
func (rp *replay) advance(seconds float64) {
	for n := range rp.queued {
		rp.queued[n] = max(0, rp.queued[n]-seconds)
	}
}

// backlog returns the mean work at an engine.
func (rp *replay) backlog() float64 {
	sum := 0.0
	for _, work := range rp.queued {
		sum += work
	}
	return sum / engineCount
}

// run adds a run to the less loaded of two engines, and returns when its answer begins.
func (rp *replay) run(work float64) float64 {
	one, other := rp.rng.IntN(engineCount), rp.rng.IntN(engineCount)
	if rp.queued[other] < rp.queued[one] {
		one = other
	}
	rp.queued[one] += work
	return rp.queued[one]
}

// serve serves a request.
func (rp *replay) serve(now time.Time, rank int, prompt policy.Tokens) {
	ta := cascade.Task{
		Service: "engines", Route: policy.RouteID(fmt.Sprint("rank", rank)), RouteUrgency: int64(rank), Urgency: int64(rank), Prompt: prompt,
		Backlog: rp.backlog(), Target: latencyTarget, Left: latencyTarget, Pause: pauseTarget, Repeatable: true,
	}
	for n, pace := range rp.mix.paces {
		ta.Options = append(ta.Options, cascade.Option{Model: policy.ModelID(fmt.Sprint("m", n)), Work: pace * float64(prompt) * rp.mix.secondsPerToken})
	}
	difficulty := rp.mix.difficulty(rp.rng.Float64())
	value := math.Pow(3, -float64(rank))
	rp.owed[rank] += value
	model := rp.chooser.first(now, ta)
	took := rp.run(ta.Options[model].Work)
	co := rp.opinion(model, difficulty)
	for {
		ta.Backlog, ta.Left = rp.backlog(), latencyTarget-took
		larger := rp.chooser.next(now, ta, model, co)
		if larger == model {
			break
		}
		took += rp.run(ta.Options[larger].Work)
		after := rp.opinion(larger, difficulty)
		rp.chooser.learn(ta, model, larger, co, after)
		model, co = larger, after
	}
	if took <= latencyTarget && difficulty <= rp.mix.abilities[model] {
		rp.earned[rank] += value
	}
}

// opinion returns a model's confidence in its answer: half where the answer is just good.
func (rp *replay) opinion(model int, difficulty float64) cascade.Confidence {
	margin := rp.mix.abilities[model] - difficulty
	return cascade.Confidence(min(1, max(0, 0.5+margin+opinionError*rp.rng.NormFloat64())))
}

// measureEscalation measures the value of good answers in time, against choosers that know
// neither price nor rank.
func measureEscalation(seed uint64) []Row {
	var out []Row
	for _, mi := range mixes() {
		small, _ := mi.play(seed, always{})
		large, _ := mi.play(seed, always{largest: true})
		old, oldUrgent := mi.play(seed, threshold{})
		all, urgent := mi.play(seed, planned{cascade.NewPlanner(seed)})
		out = append(out, Row{
			Measure:   "value of good answers in time (most urgent rank), escalation of " + mi.name,
			Baselines: fmt.Sprintf("always smallest %.3f; always largest %.3f; confidence threshold %.3f (%.3f)", small, large, old, oldUrgent),
			Figure:    fmt.Sprintf("%.3f (%.3f)", all, urgent), Target: "no worse than one model for all, by 0.01 at most; above the threshold by 0.01",
			Met: all >= max(small, large)-0.01 && all >= old+0.01 && urgent >= oldUrgent+0.01,
		})
	}
	return out
}
