package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"tanagerpoint.example/tanager/cascade"
)

const (
	cascadeRequests = 40_000
	// qualityTarget is the mean quality, from 0 to 1, to be reached.
	qualityTarget = 0.86
	// ratedShare is the share of answers that are rated. A rating arrives ratingLag
	// requests after its answer.
	ratedShare = 0.1
	ratingLag  = 300
	// ratingNoise is the standard deviation of a rating from the true quality.
	ratingNoise = 0.1
	// qualityWindow is the number of requests over which regained averages the
	// quality.
	qualityWindow = 2000
)

// workload is a mix of three kinds of work, and the true quality of three models
// for each of them.
type workload struct {
	kinds []cascade.WorkKind
	// kindShares are the shares of the kinds in the requests.
	kindShares []float64
	// arms are the models that a request can go to, cheapest first.
	arms []cascade.Arm
	// quality is the true quality by kind and arm.
	quality [][]float64
}

func newWorkload() *workload {
	return &workload{
		kinds:      []cascade.WorkKind{"ledger summary", "condition note", "folio tag"},
		kindShares: []float64{0.4, 0.3, 0.3},
		arms: []cascade.Arm{
			{Model: "small", Version: "small-1", Cost: 10, Quality: 0.8},
			{Model: "middle", Version: "middle-1", Cost: 40, Quality: 0.88},
			{Model: "large", Version: "large-1", Cost: 120, Quality: 0.94},
		},
		quality: [][]float64{{0.70, 0.86, 0.92}, {0.60, 0.80, 0.95}, {0.90, 0.92, 0.93}},
	}
}

// armChooser returns the index of the arm for a request of a kind.
type armChooser func(kind int) int

// result is the result of a run: its total cost and mean true quality.
type result struct {
	cost       float64
	quality    float64
	perRequest []requestRecord
	// rated is the number of ratings that have arrived.
	rated int
}

// requestRecord is a request's true quality and cost, and the number of ratings that
// had arrived before it.
type requestRecord struct {
	quality float64
	cost    float64
	rated   int
}

// run simulates cascadeRequests requests. It calls change before each one, which may
// alter the workload, choose for the arm, and rate with each rating that arrives.
func (wl *workload) run(seed uint64, choose armChooser, rate func(kind, arm int, quality float64), change func(i int)) result {
	rng := rand.New(rand.NewPCG(seed, 2))
	type delayedRating struct {
		at, kind, arm int
		quality       float64
	}
	var ratings []delayedRating
	var rs result
	for i := range cascadeRequests {
		change(i)
		for len(ratings) > 0 && ratings[0].at <= i {
			ra := ratings[0]
			ratings = ratings[1:]
			rs.rated++
			rate(ra.kind, ra.arm, ra.quality)
		}
		kind := wl.kind(rng.Float64())
		arm := choose(kind)
		quality := wl.quality[kind][arm]
		cost := float64(wl.arms[arm].Cost)
		rs.cost += cost
		rs.quality += quality / cascadeRequests
		rs.perRequest = append(rs.perRequest, requestRecord{quality, cost, rs.rated})
		if rng.Float64() < ratedShare {
			observed := min(1, max(0, quality+rng.NormFloat64()*ratingNoise))
			ratings = append(ratings, delayedRating{i + ratingLag, kind, arm, observed})
		}
	}
	return rs
}

// kind maps a point from 0 to 1 to a kind of work, so that evenly distributed points
// give the kinds in their shares.
func (wl *workload) kind(point float64) int {
	for k, share := range wl.kindShares {
		if point -= share; point < 0 {
			return k
		}
	}
	return len(wl.kindShares) - 1
}

// bestFixedCost returns the mean cost per request of the cheapest fixed assignment
// of kinds to arms that reaches the quality target, with hindsight of the true
// quality.
func (wl *workload) bestFixedCost() float64 {
	best := math.Inf(1)
	n := len(wl.arms)
	for assignment := range n * n * n {
		cost, quality, rest := 0.0, 0.0, assignment
		for k, share := range wl.kindShares {
			arm := rest % n
			rest /= n
			cost += share * float64(wl.arms[arm].Cost)
			quality += share * wl.quality[k][arm]
		}
		if quality >= qualityTarget {
			best = min(best, cost)
		}
	}
	return best
}

func noRatings(int, int, float64) {}
func noChange(int)                {}

// productionChooser returns functions that choose and rate with the chooser that is
// used in production.
func (wl *workload) productionChooser(seed uint64) (armChooser, func(kind, arm int, quality float64)) {
	ch := cascade.NewChooser(seed)
	choose := func(kind int) int { return ch.Choose(wl.kinds[kind], wl.arms, qualityTarget).Index }
	rate := func(kind, arm int, quality float64) { ch.AddRating(wl.kinds[kind], wl.arms[arm].Version, quality) }
	return choose, rate
}

// fixedThreshold returns the cheapest arm whose configured quality reaches the
// target, or the most expensive arm if none does.
func (wl *workload) fixedThreshold(int) int {
	for i, ar := range wl.arms {
		if ar.Quality >= qualityTarget {
			return i
		}
	}
	return len(wl.arms) - 1
}

// measureCascade measures the cost at the quality target.
func measureCascade(seed uint64) Row {
	wl := newWorkload()
	means := func(rs result) (cost, quality float64) { return rs.cost / cascadeRequests, rs.quality }
	choose, rate := wl.productionChooser(seed)
	cost, quality := means(wl.run(seed, choose, rate, noChange))
	best := wl.bestFixedCost()
	baselines := ""
	cheapestOnTarget := math.Inf(1)
	for _, ba := range []struct {
		name   string
		choose armChooser
	}{
		{"always best", func(int) int { return len(wl.arms) - 1 }},
		{"always cheapest", func(int) int { return 0 }},
		{"fixed threshold", wl.fixedThreshold},
	} {
		co, qu := means(wl.run(seed, ba.choose, noRatings, noChange))
		baselines += fmt.Sprintf("%s %.1f at %.3f; ", ba.name, co, qu)
		if qu >= qualityTarget {
			cheapestOnTarget = min(cheapestOnTarget, co)
		}
	}
	return Row{
		Measure:   "cost a request at quality target 0.86, ratings late and 10% sampled",
		Baselines: baselines + fmt.Sprintf("hindsight %.1f", best),
		Figure:    fmt.Sprintf("%.1f at %.3f (%.2f of hindsight)", cost, quality, cost/best),
		Target:    "target held; cost <= 1.10 of hindsight and below every other that holds it",
		Met:       quality >= qualityTarget && cost <= 1.10*best && cost < cheapestOnTarget,
	}
}

// measureDrift measures how many ratings it takes to reach the target again after
// the quality of the models in use has fallen.
func measureDrift(seed uint64) Row {
	wl := newWorkload()
	const at = cascadeRequests / 2
	choose, rate := wl.productionChooser(seed)
	rs := wl.run(seed, choose, rate, func(i int) {
		if i == at {
			wl.drift()
		}
	})
	regained := rs.regained(at)
	drifted := newWorkload()
	baseline := drifted.run(seed, drifted.fixedThreshold, noRatings, func(i int) {
		if i == at {
			drifted.drift()
		}
	})
	return Row{
		Measure:   "rated answers until the target is regained after drift",
		Baselines: "fixed threshold " + regainedText(baseline.regained(at)),
		Figure:    regainedText(regained), Target: "<= 500", Met: regained >= 0 && regained <= 500,
	}
}

// drift lowers the quality of the cheaper models for two kinds of work.
func (wl *workload) drift() {
	wl.quality[0][1] -= 0.2
	wl.quality[2][0] -= 0.2
}

func regainedText(answers int) string {
	if answers < 0 {
		return "never"
	}
	return fmt.Sprint(answers)
}

// regained returns the number of ratings that arrive from a request on until a
// window begins whose mean quality is at most 0.005 below the target, -1 if none does.
func (rs result) regained(at int) int {
	sum := 0.0
	for i := at; i < len(rs.perRequest); i++ {
		sum += rs.perRequest[i].quality
		if i-at >= qualityWindow {
			sum -= rs.perRequest[i-qualityWindow].quality
		}
		if i-at >= qualityWindow-1 && sum/qualityWindow >= qualityTarget-0.005 {
			return rs.perRequest[i-qualityWindow+1].rated - rs.perRequest[at].rated
		}
	}
	return -1
}

// measureModelRemoval measures how many ratings it takes to reach the target again
// after a model has been removed.
func measureModelRemoval(seed uint64) Row {
	wl := newWorkload()
	const at = cascadeRequests / 2
	gone := false
	// After the removal of the middle model the chooser sees only the other two.
	remaining := &workload{kinds: wl.kinds, arms: []cascade.Arm{wl.arms[0], wl.arms[2]}}
	ch := cascade.NewChooser(seed)
	rs := wl.run(seed, func(kind int) int {
		if gone {
			// Arms 0 and 1 of remaining are arms 0 and 2 of wl.
			return 2 * ch.Choose(remaining.kinds[kind], remaining.arms, qualityTarget).Index
		}
		return ch.Choose(wl.kinds[kind], wl.arms, qualityTarget).Index
	}, func(kind, arm int, quality float64) {
		ch.AddRating(wl.kinds[kind], wl.arms[arm].Version, quality)
	}, func(i int) { gone = i >= at })
	regained := rs.regained(at)
	return Row{
		Measure: "rated answers until the target is regained after a model disappeared", Baselines: "none run",
		Figure: regainedText(regained), Target: "<= 500", Met: regained >= 0 && regained <= 500,
	}
}

// measureStoppedRatings measures the mean cost per request after ratings have stopped,
// against that in the second half of the requests before.
func measureStoppedRatings(seed uint64) Row {
	wl := newWorkload()
	const at = cascadeRequests / 2
	choose, rate := wl.productionChooser(seed)
	stopped := false
	rs := wl.run(seed, choose, func(kind, arm int, quality float64) {
		if !stopped {
			rate(kind, arm, quality)
		}
	}, func(i int) { stopped = i >= at })
	before, after := 0.0, 0.0
	for i, re := range rs.perRequest {
		switch {
		case i >= at/2 && i < at:
			before += re.cost / (at / 2)
		case i >= at:
			after += re.cost / at
		}
	}
	return Row{
		Measure: "cost after ratings stop, against before", Baselines: "none run",
		Figure: fmt.Sprintf("%.2f", after/before), Target: "no runaway: <= 1.10", Met: after <= 1.10*before,
	}
}
