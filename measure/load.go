package measure

import (
	"fmt"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	warmUp    = 30 * time.Second
	measured  = 180 * time.Second
	urgentMax = 5 * time.Second
	standMax  = 20 * time.Second
	bulkMax   = 60 * time.Second
)

// oursScheduler, fcfs, strict and fixedLength make the queues compared.
func oursScheduler(fl *fleet) scheduler { return newOurs(fl.now, fl.rng.Float64(), func(*job) {}) }

func newSimple(less func(a, b *job) bool, limit int, perOrg float64) func(fl *fleet) scheduler {
	return func(*fleet) scheduler {
		return &simple{less: less, limit: limit, perOrg: perOrg, byOrg: map[policy.OrganisationID]int{}, refused: func(*job) {}}
	}
}

// run lets streams come and gives the fleet after the measured time.
func run(st site, seed uint64, make func(fl *fleet) scheduler, sms ...stream) (*fleet, time.Time) {
	fl := newFleet(st, seed, make)
	for _, sm := range sms {
		fl.offer(sm)
	}
	from := fl.now.Add(warmUp)
	fl.run(warmUp + measured)
	return fl, from
}

// urgent, standard and bulk give streams that make up a part of the capacity.
func urgent(st site, load float64) stream {
	return stream{org: "survey", rank: "urgent", order: 0, tokens: 40, rate: st.rate(load, 40), limit: urgentMax}
}

func standard(st site, load float64) stream {
	return stream{org: "archive", rank: "standard", order: 1, tokens: 100, rate: st.rate(load, 100), limit: standMax}
}

func bulk(st site, load float64) stream {
	return stream{org: "trek", rank: "bulk", order: 2, tokens: 200, rate: st.rate(load, 200), limit: bulkMax}
}

// by gives a stream as another organisation's.
func (sm stream) by(id policy.OrganisationID) stream {
	sm.org = id
	return sm
}

// measureFlood measures urgent work in a flood of the least urgent.
func measureFlood(st site, seed uint64) Row {
	p95 := func(make func(fl *fleet) scheduler, sms ...stream) float64 {
		fl, from := run(st, seed, make, sms...)
		return firstTokenP95(fl.settled(from, ofRank("urgent")))
	}
	calm := []stream{urgent(st, 0.2), standard(st, 0.2)}
	flood := []stream{calm[0], calm[1], bulk(st, 2.6)}
	unloaded := p95(oursScheduler, urgent(st, 0.2))
	mine := p95(oursScheduler, flood...) / unloaded
	return Row{
		Measure: "urgent first-token p95 in a flood of the least urgent at 3x, " + st.name,
		Baselines: fmt.Sprintf("first come first served %.2f; strict priority %.2f",
			p95(newSimple(byArrival, 0, 0), flood...)/unloaded, p95(newSimple(byRank, 0, 0), flood...)/unloaded),
		Figure: fmt.Sprintf("%.2f of unloaded (%.0f ms)", mine, unloaded*1000),
		Target: "<= 1.10 of unloaded", Met: mine <= 1.10,
	}
}

// measureFloors measures what other ranks keep in a flood of urgent work.
func measureFloors(st site, seed uint64) Row {
	flood := []stream{urgent(st, 3), standard(st, 1), bulk(st, 1)}
	kept := func(make func(fl *fleet) scheduler) (standardShare, bulkShare float64) {
		fl, from := run(st, seed, make, flood...)
		all := float64(st.replicas*st.slots) * measured.Seconds()
		return fl.slotSeconds(from, ofRank("standard"), false) / all, fl.slotSeconds(from, ofRank("bulk"), false) / all
	}
	baseStandard, baseBulk := kept(newSimple(byRank, 0, 0))
	mineStandard, mineBulk := kept(oursScheduler)
	return Row{
		Measure:   "capacity kept by standard and bulk in a flood of urgent at 3x, " + st.name,
		Baselines: fmt.Sprintf("strict priority %.3f and %.3f", baseStandard, baseBulk),
		Figure:    fmt.Sprintf("%.3f and %.3f", mineStandard, mineBulk),
		Target:    "floors 0.200 and 0.100, each within 5%",
		Met:       mineStandard >= 0.19 && mineStandard <= 0.21 && mineBulk >= 0.095 && mineBulk <= 0.105,
	}
}

// measureCombined measures a flood of the least urgent, then one of the most
// urgent, upon each other's heels.
func measureCombined(st site, seed uint64) Row {
	const part = 90 * time.Second
	calm := newFleet(st, seed, oursScheduler)
	calm.offer(urgent(st, 0.2))
	calm.run(part)
	unloaded := firstTokenP95(calm.settled(calm.now.Add(-part), ofRank("urgent")))

	fl := newFleet(st, seed, oursScheduler)
	started := fl.now
	fl.offer(urgent(st, 0.2))
	fl.offer(standard(st, 0.2))
	low := bulk(st, 2.6)
	low.until = part
	fl.offer(low)
	high := urgent(st, 2.8).by("flood")
	high.from = part
	fl.offer(high)
	more := bulk(st, 1)
	more.from = part
	fl.offer(more)
	fl.run(part)
	first := firstTokenP95(fl.settled(started.Add(warmUp), ofRank("urgent"))) / unloaded
	fl.run(warmUp)
	from := fl.now
	fl.run(part)
	all := float64(st.replicas*st.slots) * part.Seconds()
	kept := fl.slotSeconds(from, ofRank("bulk"), false) / all
	small := answered(fl.settled(from, func(jo *job) bool { return jo.org == "survey" }))
	return Row{
		Measure:   "a flood of the least urgent, then of the most urgent, " + st.name,
		Baselines: "none run",
		Figure:    fmt.Sprintf("urgent p95 %.2f of unloaded; then bulk keeps %.3f, the small urgent organisation is answered in time %.3f", first, kept, small),
		Target:    "<= 1.10; floor 0.100 within 5%; >= 0.95",
		Met:       first <= 1.10 && kept >= 0.095 && kept <= 0.105 && small >= 0.95,
	}
}

// measureUseful measures useful work at three times the capacity.
func measureUseful(st site, seed uint64) Row {
	load := []stream{urgent(st, 1), standard(st, 1), bulk(st, 1)}
	useful := func(make func(fl *fleet) scheduler) float64 {
		fl, from := run(st, seed, make, load...)
		return fl.slotSeconds(from, everyJob, true) / (float64(st.replicas*st.slots) * measured.Seconds())
	}
	mine := useful(oursScheduler)
	return Row{
		Measure: "useful work at 3x load (in time / capacity), " + st.name,
		Baselines: fmt.Sprintf("no shedding %.2f; fixed queue of 64 an entry %.2f",
			useful(newSimple(byArrival, 0, 0)), useful(newSimple(byArrival, 64, 0))),
		Figure: fmt.Sprintf("%.3f", mine), Target: ">= 0.95", Met: mine >= 0.95,
	}
}

// measureFairness measures a small organisation beside one asking twenty times
// its share.
func measureFairness(st site, seed uint64) Row {
	small := standard(st, 0.08).by("small")
	large := standard(st, 20*0.5).by("large")
	kept := func(make func(fl *fleet) scheduler, sms ...stream) (share, p95 float64) {
		fl, from := run(st, seed, make, sms...)
		jos := fl.settled(from, ofOrg("small"))
		return answered(jos), firstTokenP95(jos)
	}
	alone, aloneP95 := kept(oursScheduler, small)
	mine, mineP95 := kept(oursScheduler, small, large)
	limits, limitsP95 := kept(newSimple(byArrival, 256, 0.5), small, large)
	none, noneP95 := kept(newSimple(byArrival, 256, 0), small, large)
	return Row{
		Measure: "small organisation beside one asking 20x its share, " + st.name,
		Baselines: fmt.Sprintf("per-entry limits %.2f, p95 %.1fx; none %.2f, p95 %.1fx",
			limits/alone, limitsP95/aloneP95, none/alone, noneP95/aloneP95),
		Figure: fmt.Sprintf("goodput %.3f of alone, p95 %.2fx", mine/alone, mineP95/aloneP95),
		Target: "goodput >= 0.95, p95 <= 1.2x of alone", Met: mine/alone >= 0.95 && mineP95/aloneP95 <= 1.2,
	}
}
