package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/policy"
)

const (
	// shortageStep is the time between two places that become free at the endpoints of a
	// service; shortageArrivals is the mean number of requests that come in that time,
	// shortageUrgent the part of them that is urgent, and shortageHot that of one organisation
	// of shortageOrganisations.
	shortageStep          = 10 * time.Millisecond
	shortageArrivals      = 2.0
	shortageUrgent        = 0.25
	shortageHot           = 0.5
	shortageOrganisations = 8
	shortageWait          = 150 * time.Millisecond
	shortageRunLength     = 60 * time.Second
	// minUrgentServed is the part of the urgent requests of others than the hot organisation
	// that is to be served, and minShortageUse that of the places that is to be used.
	minUrgentServed = 0.99
	minShortageUse  = 0.97
)

// shortageCount counts the requests of one kind.
type shortageCount struct{ asked, served int }

func (sc shortageCount) share() float64 { return float64(sc.served) / max(1, float64(sc.asked)) }

// shortageRun simulates requests that wait for places.
type shortageRun struct {
	*admission.Shortage
	rng  *rand.Rand
	now  time.Time
	kind map[*admission.Waiter]*shortageCount
	// urgent are the urgent requests of others than the hot organisation.
	urgent, rest shortageCount
	used, places int
}

// arrive offers a request. ranked makes its urgency and organisation count.
func (sr *shortageRun) arrive(ranked bool) {
	wa := &admission.Waiter{Urgency: 2, Since: sr.now, Target: sr.now.Add(time.Second), Work: 0.05, Until: sr.now.Add(shortageWait), Organisation: "hot"}
	urgent := sr.rng.Float64() < shortageUrgent
	if urgent {
		wa.Urgency = 0
	}
	count := &sr.rest
	if sr.rng.Float64() >= shortageHot {
		wa.Organisation = policy.OrganisationID(fmt.Sprint("organisation-", sr.rng.IntN(shortageOrganisations)))
		if urgent {
			count = &sr.urgent
		}
	}
	if !ranked {
		wa.Urgency, wa.Organisation = 0, ""
	}
	count.asked++
	sr.kind[wa] = count
	sr.Offer(sr.now, wa)
}

// step has one place become free.
func (sr *shortageRun) step(ranked bool) {
	sr.now = sr.now.Add(shortageStep)
	for left := sr.rng.ExpFloat64(); left < shortageArrivals; left += sr.rng.ExpFloat64() {
		sr.arrive(ranked)
	}
	sr.Freed(sr.now)
	sr.places++
	for wa := sr.Next(sr.now); wa != nil; wa = sr.Next(sr.now) {
		sr.Leave(wa)
		if wa.Until.Before(sr.now) {
			continue
		}
		sr.Took(sr.now, wa.Organisation, wa.Urgency, wa.Work)
		sr.kind[wa].served++
		sr.used++
		return
	}
}

// simulateShortage returns the run of a service that is asked for twice what it has places for.
func simulateShortage(seed uint64, ranked bool) *shortageRun {
	sr := &shortageRun{
		Shortage: admission.NewShortage(), rng: rand.New(rand.NewPCG(seed, 49)), now: time.Unix(0, 0), kind: map[*admission.Waiter]*shortageCount{},
	}
	for range int(shortageRunLength / shortageStep) {
		sr.step(ranked)
	}
	return sr
}

// measureShortage compares who is served where there is too little room, by urgency and
// organisation and first come, first served.
func measureShortage(seed uint64) Row {
	ranked, fifo := simulateShortage(seed, true), simulateShortage(seed, false)
	used := float64(ranked.used) / float64(ranked.places)
	return Row{
		Measure:   "router asked for twice its places, half of it by one organisation: urgent requests of others served, places used",
		Baselines: fmt.Sprintf("first come, first served: %.3f", fifo.urgent.share()),
		Figure:    fmt.Sprintf("%.3f, %.3f", ranked.urgent.share(), used),
		Target:    fmt.Sprintf("at least %.2f, %.2f", minUrgentServed, minShortageUse),
		Met:       ranked.urgent.share() >= minUrgentServed && used >= minShortageUse,
	}
}
