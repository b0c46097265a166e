package measure

import (
	"fmt"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// warmUp is the time at the start of a run that is not measured.
	warmUp      = 30 * time.Second
	measureTime = 180 * time.Second
	// The limits are the times from a request to its deadline, by rank.
	urgentLimit   = 5 * time.Second
	standardLimit = 20 * time.Second
	bulkLimit     = 60 * time.Second
)

// productionScheduler returns a queue as the entries use it in production.
func productionScheduler(fl *fleet) scheduler {
	return newProductionQueue(fl.now, fl.rng.Float64(), func(*job) {})
}

// baselineScheduler returns a function that makes baseline queues. A maxWaiting or
// maxOrgShare of 0 sets no limit.
func baselineScheduler(less func(a, b *job) bool, maxWaiting int, maxOrgShare float64) func(fl *fleet) scheduler {
	return func(*fleet) scheduler {
		return &baselineQueue{less: less, maxWaiting: maxWaiting, maxOrgShare: maxOrgShare, runningByOrg: map[policy.OrganisationID]int{}, refused: func(*job) {}}
	}
}

// runStreams runs a fleet under streams of requests. It returns the fleet at the
// end, and the time at which the warm-up ended and the measurement began.
func runStreams(st site, seed uint64, newScheduler func(fl *fleet) scheduler, sms ...stream) (*fleet, time.Time) {
	fl := newFleet(st, seed, newScheduler)
	for _, sm := range sms {
		fl.addStream(sm)
	}
	from := fl.now.Add(warmUp)
	fl.run(warmUp + measureTime)
	return fl, from
}

// urgent, standard and bulk return streams of requests of a rank; load is the mean
// demand as a multiple of the site's capacity.
func urgent(st site, load float64) stream {
	return stream{org: "survey", rank: "urgent", order: 0, tokens: 40, rate: st.rate(load, 40), timeLimit: urgentLimit}
}

func standard(st site, load float64) stream {
	return stream{org: "archive", rank: "standard", order: 1, tokens: 100, rate: st.rate(load, 100), timeLimit: standardLimit}
}

func bulk(st site, load float64) stream {
	return stream{org: "trek", rank: "bulk", order: 2, tokens: 200, rate: st.rate(load, 200), timeLimit: bulkLimit}
}

// withOrganisation returns the stream as one of another organisation.
func (sm stream) withOrganisation(id policy.OrganisationID) stream {
	sm.org = id
	return sm
}

// measureFlood measures the time to the first token of urgent requests in a flood
// of the least urgent.
func measureFlood(st site, seed uint64) Row {
	p95 := func(newScheduler func(fl *fleet) scheduler, sms ...stream) float64 {
		fl, from := runStreams(st, seed, newScheduler, sms...)
		return firstTokenP95(fl.dueJobs(from, hasRank("urgent")))
	}
	normal := []stream{urgent(st, 0.2), standard(st, 0.2)}
	flood := []stream{normal[0], normal[1], bulk(st, 2.6)}
	unloaded := p95(productionScheduler, urgent(st, 0.2))
	production := p95(productionScheduler, flood...) / unloaded
	return Row{
		Measure: "urgent first-token p95 in a flood of the least urgent at 3x, " + st.name,
		Baselines: fmt.Sprintf("first come first served %.2f; strict priority %.2f",
			p95(baselineScheduler(byArrival, 0, 0), flood...)/unloaded, p95(baselineScheduler(byRank, 0, 0), flood...)/unloaded),
		Figure: fmt.Sprintf("%.2f of unloaded (%.0f ms)", production, unloaded*1000),
		Target: "<= 1.10 of unloaded", Met: production <= 1.10,
	}
}

// measureFloors measures the capacity that the other ranks keep in a flood of
// urgent requests.
func measureFloors(st site, seed uint64) Row {
	flood := []stream{urgent(st, 3), standard(st, 1), bulk(st, 1)}
	kept := func(newScheduler func(fl *fleet) scheduler) (standardShare, bulkShare float64) {
		fl, from := runStreams(st, seed, newScheduler, flood...)
		all := float64(st.replicas*st.slots) * measureTime.Seconds()
		return fl.slotSeconds(from, hasRank("standard"), false) / all, fl.slotSeconds(from, hasRank("bulk"), false) / all
	}
	baselineStandard, baselineBulk := kept(baselineScheduler(byRank, 0, 0))
	productionStandard, productionBulk := kept(productionScheduler)
	return Row{
		Measure:   "capacity kept by standard and bulk in a flood of urgent at 3x, " + st.name,
		Baselines: fmt.Sprintf("strict priority %.3f and %.3f", baselineStandard, baselineBulk),
		Figure:    fmt.Sprintf("%.3f and %.3f", productionStandard, productionBulk),
		Target:    "floors 0.200 and 0.100, each within 5%",
		Met:       productionStandard >= 0.19 && productionStandard <= 0.21 && productionBulk >= 0.095 && productionBulk <= 0.105,
	}
}

// measureCombined measures a flood of the least urgent requests that is followed
// at once by one of the most urgent.
func measureCombined(st site, seed uint64) Row {
	const part = 90 * time.Second
	normal := newFleet(st, seed, productionScheduler)
	normal.addStream(urgent(st, 0.2))
	normal.run(part)
	unloaded := firstTokenP95(normal.dueJobs(normal.now.Add(-part), hasRank("urgent")))

	fl := newFleet(st, seed, productionScheduler)
	started := fl.now
	fl.addStream(urgent(st, 0.2))
	fl.addStream(standard(st, 0.2))
	bulkFlood := bulk(st, 2.6)
	bulkFlood.until = part
	fl.addStream(bulkFlood)
	urgentFlood := urgent(st, 2.8).withOrganisation("flood")
	urgentFlood.from = part
	fl.addStream(urgentFlood)
	otherBulk := bulk(st, 1)
	otherBulk.from = part
	fl.addStream(otherBulk)
	fl.run(part)
	first := firstTokenP95(fl.dueJobs(started.Add(warmUp), hasRank("urgent"))) / unloaded
	fl.run(warmUp)
	from := fl.now
	fl.run(part)
	all := float64(st.replicas*st.slots) * part.Seconds()
	kept := fl.slotSeconds(from, hasRank("bulk"), false) / all
	small := shareInTime(fl.dueJobs(from, func(jo *job) bool { return jo.org == "survey" }))
	return Row{
		Measure:   "a flood of the least urgent, then of the most urgent, " + st.name,
		Baselines: "none run",
		Figure:    fmt.Sprintf("urgent p95 %.2f of unloaded; then bulk keeps %.3f, the small urgent organisation is answered in time %.3f", first, kept, small),
		Target:    "<= 1.10; floor 0.100 within 5%; >= 0.95",
		Met:       first <= 1.10 && kept >= 0.095 && kept <= 0.105 && small >= 0.95,
	}
}

// measureUseful measures the share of the capacity that is spent on answers in time
// when the demand is three times the capacity.
func measureUseful(st site, seed uint64) Row {
	load := []stream{urgent(st, 1), standard(st, 1), bulk(st, 1)}
	useful := func(newScheduler func(fl *fleet) scheduler) float64 {
		fl, from := runStreams(st, seed, newScheduler, load...)
		return fl.slotSeconds(from, anyJob, true) / (float64(st.replicas*st.slots) * measureTime.Seconds())
	}
	production := useful(productionScheduler)
	return Row{
		Measure: "useful work at 3x load (in time / capacity), " + st.name,
		Baselines: fmt.Sprintf("no shedding %.2f; fixed queue of 64 an entry %.2f",
			useful(baselineScheduler(byArrival, 0, 0)), useful(baselineScheduler(byArrival, 64, 0))),
		Figure: fmt.Sprintf("%.3f", production), Target: ">= 0.95", Met: production >= 0.95,
	}
}

// measureFairness measures a small organisation beside one that asks for twenty
// times its share.
func measureFairness(st site, seed uint64) Row {
	small := standard(st, 0.08).withOrganisation("small")
	large := standard(st, 20*0.5).withOrganisation("large")
	smallResult := func(newScheduler func(fl *fleet) scheduler, sms ...stream) (share, p95 float64) {
		fl, from := runStreams(st, seed, newScheduler, sms...)
		jos := fl.dueJobs(from, hasOrganisation("small"))
		return shareInTime(jos), firstTokenP95(jos)
	}
	alone, aloneP95 := smallResult(productionScheduler, small)
	production, productionP95 := smallResult(productionScheduler, small, large)
	limits, limitsP95 := smallResult(baselineScheduler(byArrival, 256, 0.5), small, large)
	none, noneP95 := smallResult(baselineScheduler(byArrival, 256, 0), small, large)
	return Row{
		Measure: "small organisation beside one asking 20x its share, " + st.name,
		Baselines: fmt.Sprintf("per-entry limits %.2f, p95 %.1fx; none %.2f, p95 %.1fx",
			limits/alone, limitsP95/aloneP95, none/alone, noneP95/aloneP95),
		Figure: fmt.Sprintf("goodput %.3f of alone, p95 %.2fx", production/alone, productionP95/aloneP95),
		Target: "goodput >= 0.95, p95 <= 1.2x of alone", Met: production/alone >= 0.95 && productionP95/aloneP95 <= 1.2,
	}
}
