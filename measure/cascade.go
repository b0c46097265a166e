package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"tanagerpoint.example/tanager/cascade"
)

const (
	cascadeRequests = 40_000
	qualityTarget   = 0.86
	// ratedShare of the answers are rated, ratingLag requests later.
	ratedShare = 0.1
	ratingLag  = 300
	// ratingNoise is the standard deviation of one rating.
	ratingNoise = 0.1
	// settledWindow is over how many requests quality is averaged.
	settledWindow = 2000
)

// world is the true quality of three models for three kinds of work.
type world struct {
	works   []cascade.WorkKind
	mix     []float64
	arms    []cascade.Arm
	quality [][]float64
}

func newWorld() *world {
	return &world{
		works: []cascade.WorkKind{"ledger summary", "condition note", "folio tag"},
		mix:   []float64{0.4, 0.3, 0.3},
		arms: []cascade.Arm{
			{Model: "small", Version: "small-1", Cost: 10, Quality: 0.8},
			{Model: "middle", Version: "middle-1", Cost: 40, Quality: 0.88},
			{Model: "large", Version: "large-1", Cost: 120, Quality: 0.94},
		},
		quality: [][]float64{{0.70, 0.86, 0.92}, {0.60, 0.80, 0.95}, {0.90, 0.92, 0.93}},
	}
}

// chooser decides an arm by its index.
type armChooser func(kind int) int

// outcome is what a run of requests came to.
type outcome struct {
	cost    float64
	quality float64
	// perRequest holds each request's true quality and cost.
	perRequest []served
	rated      int
}

type served struct {
	quality float64
	cost    float64
	rated   int
}

// serve lets requests come; change may alter the world before each one.
func (wo *world) serve(seed uint64, choose armChooser, rate func(kind, arm int, quality float64), change func(i int)) outcome {
	rng := rand.New(rand.NewPCG(seed, 2))
	type late struct {
		at, kind, arm int
		quality       float64
	}
	var ratings []late
	var ou outcome
	for i := range cascadeRequests {
		change(i)
		for len(ratings) > 0 && ratings[0].at <= i {
			ra := ratings[0]
			ratings = ratings[1:]
			ou.rated++
			rate(ra.kind, ra.arm, ra.quality)
		}
		kind := wo.kind(rng.Float64())
		arm := choose(kind)
		quality := wo.quality[kind][arm]
		cost := float64(wo.arms[arm].Cost)
		ou.cost += cost
		ou.quality += quality / cascadeRequests
		ou.perRequest = append(ou.perRequest, served{quality, cost, ou.rated})
		if rng.Float64() < ratedShare {
			seen := min(1, max(0, quality+rng.NormFloat64()*ratingNoise))
			ratings = append(ratings, late{i + ratingLag, kind, arm, seen})
		}
	}
	return ou
}

func (wo *world) kind(draw float64) int {
	for k, share := range wo.mix {
		if draw -= share; draw < 0 {
			return k
		}
	}
	return len(wo.mix) - 1
}

// hindsight gives the cheapest fixed assignment of kinds to arms that holds
// the target, by its cost a request.
func (wo *world) hindsight() float64 {
	best := math.Inf(1)
	n := len(wo.arms)
	for code := range n * n * n {
		cost, quality, rest := 0.0, 0.0, code
		for k, share := range wo.mix {
			arm := rest % n
			rest /= n
			cost += share * float64(wo.arms[arm].Cost)
			quality += share * wo.quality[k][arm]
		}
		if quality >= qualityTarget {
			best = min(best, cost)
		}
	}
	return best
}

func noRatings(int, int, float64) {}
func noChange(int)                {}

// ours gives the chooser that serves.
func (wo *world) ours(seed uint64) (armChooser, func(kind, arm int, quality float64)) {
	ch := cascade.NewChooser(seed)
	choose := func(kind int) int { return ch.Choose(wo.works[kind], wo.arms, qualityTarget).Index }
	rate := func(kind, arm int, quality float64) { ch.AddRating(wo.works[kind], wo.arms[arm].Version, quality) }
	return choose, rate
}

// threshold takes the cheapest arm whose stated quality is at the target.
func (wo *world) threshold(int) int {
	for i, ar := range wo.arms {
		if ar.Quality >= qualityTarget {
			return i
		}
	}
	return len(wo.arms) - 1
}

// measureCascade measures cost at the quality target.
func measureCascade(seed uint64) Row {
	wo := newWorld()
	per := func(ou outcome) (cost, quality float64) { return ou.cost / cascadeRequests, ou.quality }
	choose, rate := wo.ours(seed)
	cost, quality := per(wo.serve(seed, choose, rate, noChange))
	best := wo.hindsight()
	baselines := ""
	cheapestHolding := math.Inf(1)
	for _, ba := range []struct {
		name   string
		choose armChooser
	}{
		{"always best", func(int) int { return len(wo.arms) - 1 }},
		{"always cheapest", func(int) int { return 0 }},
		{"fixed threshold", wo.threshold},
	} {
		co, qu := per(wo.serve(seed, ba.choose, noRatings, noChange))
		baselines += fmt.Sprintf("%s %.1f at %.3f; ", ba.name, co, qu)
		if qu >= qualityTarget {
			cheapestHolding = min(cheapestHolding, co)
		}
	}
	return Row{
		Measure:   "cost a request at quality target 0.86, ratings late and 10% sampled",
		Baselines: baselines + fmt.Sprintf("hindsight %.1f", best),
		Figure:    fmt.Sprintf("%.1f at %.3f (%.2f of hindsight)", cost, quality, cost/best),
		Target:    "target held; cost <= 1.10 of hindsight and below every other that holds it",
		Met:       quality >= qualityTarget && cost <= 1.10*best && cost < cheapestHolding,
	}
}

// measureDrift measures how soon the target is regained after the quality of
// the models in use fell.
func measureDrift(seed uint64) Row {
	wo := newWorld()
	const at = cascadeRequests / 2
	choose, rate := wo.ours(seed)
	ou := wo.serve(seed, choose, rate, func(i int) {
		if i == at {
			wo.drift()
		}
	})
	regained := ou.regained(at)
	drifted := newWorld()
	base := drifted.serve(seed, drifted.threshold, noRatings, func(i int) {
		if i == at {
			drifted.drift()
		}
	})
	return Row{
		Measure:   "rated answers until the target is regained after drift",
		Baselines: "fixed threshold " + regainedText(base.regained(at)),
		Figure:    regainedText(regained), Target: "<= 500", Met: regained >= 0 && regained <= 500,
	}
}

// drift lowers the quality of the cheaper models for two kinds of work.
func (wo *world) drift() {
	wo.quality[0][1] -= 0.2
	wo.quality[2][0] -= 0.2
}

func regainedText(answers int) string {
	if answers < 0 {
		return "never"
	}
	return fmt.Sprint(answers)
}

// regained counts the rated answers from a request on until the quality of a
// following window is at the target; -1 for never.
func (ou outcome) regained(at int) int {
	sum := 0.0
	for i := at; i < len(ou.perRequest); i++ {
		sum += ou.perRequest[i].quality
		if i-at >= settledWindow {
			sum -= ou.perRequest[i-settledWindow].quality
		}
		if i-at >= settledWindow-1 && sum/settledWindow >= qualityTarget-0.005 {
			return ou.perRequest[i-settledWindow+1].rated - ou.perRequest[at].rated
		}
	}
	return -1
}

// measureDisappearance measures the same when a model disappears.
func measureDisappearance(seed uint64) Row {
	wo := newWorld()
	const at = cascadeRequests / 2
	gone := false
	// Without the middle model the chooser sees the other two.
	rest := &world{works: wo.works, arms: []cascade.Arm{wo.arms[0], wo.arms[2]}}
	ch := cascade.NewChooser(seed)
	ou := wo.serve(seed, func(kind int) int {
		if gone {
			return 2 * ch.Choose(rest.works[kind], rest.arms, qualityTarget).Index
		}
		return ch.Choose(wo.works[kind], wo.arms, qualityTarget).Index
	}, func(kind, arm int, quality float64) {
		ch.AddRating(wo.works[kind], wo.arms[arm].Version, quality)
	}, func(i int) { gone = i >= at })
	regained := ou.regained(at)
	return Row{
		Measure: "rated answers until the target is regained after a model disappeared", Baselines: "none run",
		Figure: regainedText(regained), Target: "<= 500", Met: regained >= 0 && regained <= 500,
	}
}

// measureSilence measures the cost after ratings have stopped.
func measureSilence(seed uint64) Row {
	wo := newWorld()
	const at = cascadeRequests / 2
	choose, rate := wo.ours(seed)
	stopped := false
	ou := wo.serve(seed, choose, func(kind, arm int, quality float64) {
		if !stopped {
			rate(kind, arm, quality)
		}
	}, func(i int) { stopped = i >= at })
	before, after := 0.0, 0.0
	for i, se := range ou.perRequest {
		switch {
		case i >= at/2 && i < at:
			before += se.cost / (at / 2)
		case i >= at:
			after += se.cost / at
		}
	}
	return Row{
		Measure: "cost after ratings stop, against before", Baselines: "none run",
		Figure: fmt.Sprintf("%.2f", after/before), Target: "no runaway: <= 1.10", Met: after <= 1.10*before,
	}
}
