package admission

import (
	"container/heap"
	"math"
	"time"

	"tanagerpoint.example/tanager/policy"
)

// Each rank has two levels: one for the requests of organisations within their
// fair share, and one for those of organisations over it. Levels are protected in
// the order of the ranks, and within a rank the level within the share is the more
// protected one.
const levelsPerRank = 2

// Tiers: the indexes of a rank's levels.
const (
	withinShare = 0
	overShare   = 1
)

const (
	// overShareTolerance times its fair share of a rank's usage is the usage above
	// which an organisation counts as over its share.
	overShareTolerance = 1.1
	// reserveDeviations is the number of standard deviations above a more protected
	// level's mean use up to which slots are kept free for it.
	reserveDeviations = 3.0
	// maxSpareShare is the fraction of the slots free over all entries that one
	// entry may use beyond its own slots until the next exchange of reports.
	maxSpareShare = 0.5
	// ditherInterval is how long fractional limits are rounded with the same dither.
	ditherInterval = 2 * time.Second
	// goldenRatio is added to the dither, modulo 1, at each change. The sequence
	// has low discrepancy: limits are rounded up evenly in time, as often as their
	// fraction says.
	goldenRatio = 0.6180339887498949
	// fleetReportLifetime is how long the other entries' reports are valid.
	fleetReportLifetime = 4 * time.Second
)

// LevelUsage is the number of slots that a level uses.
type LevelUsage struct {
	Rank      policy.RankID
	OverShare bool
	Running   Slots
	// Used is the exponential moving average of Running.
	Used Slots
}

// Usage is the cost served for one organisation within a rank, with
// exponential decay.
type Usage struct {
	Organisation policy.OrganisationID
	Rank         policy.RankID
	Cost         Cost
}

// Report is the usage of a queue that its entry sends to the other entries.
type Report struct {
	Organisations []Usage
	Levels        []LevelUsage
}

// Fleet is the state of the pool over all entries: its total slots, and the
// combined reports of the other entries.
type Fleet struct {
	Capacity Slots
	Report
}

// Report returns the usage of this queue, for the other entries. It leaves out
// organisations whose usage has decayed below 1.
func (qu *Queue) Report(now time.Time) Report {
	qu.advance(now)
	var re Report
	scale := 1 / qu.inflation(now)
	for _, rq := range qu.ranks {
		for id, or := range rq.orgs {
			if co := or.localUsage * scale; co >= 1 {
				re.Organisations = append(re.Organisations, Usage{Organisation: id, Rank: rq.ID, Cost: Cost(co)})
			}
		}
		for tier := range levelsPerRank {
			re.Levels = append(re.Levels, LevelUsage{
				Rank: rq.ID, OverShare: tier == overShare,
				Running: Slots(rq.levels[tier].running), Used: Slots(rq.levels[tier].used),
			})
		}
	}
	return re
}

// SetFleet replaces the reports of the other entries. After fleetReportLifetime
// the queue computes its limits from its own slots and levels only. The usage that
// the reports gave for organisations remains, and decays.
func (qu *Queue) SetFleet(now time.Time, fl Fleet) {
	qu.advance(now)
	qu.fleetCapacity = fl.Capacity
	qu.fleetUntil = now.Add(fleetReportLifetime)
	scale := qu.inflation(now)
	for _, rq := range qu.ranks {
		for tier := range rq.levels {
			le := &rq.levels[tier]
			le.peersRunning, le.peersUsed, le.runningAtReport = 0, 0, le.running
		}
		for _, or := range rq.orgs {
			rq.usage -= or.peerUsage
			or.peerUsage = 0
		}
	}
	for _, lu := range fl.Levels {
		if rq := qu.rank(lu.Rank); rq != nil {
			tier := withinShare
			if lu.OverShare {
				tier = overShare
			}
			rq.levels[tier].peersRunning += float64(lu.Running)
			rq.levels[tier].peersUsed += float64(lu.Used)
		}
	}
	for _, us := range fl.Organisations {
		qu.addPeerUsage(us, scale)
	}
	for _, rq := range qu.ranks {
		heap.Init(&rq.ready)
	}
}

func (qu *Queue) addPeerUsage(us Usage, scale float64) {
	rq := qu.rank(us.Rank)
	if rq == nil {
		return
	}
	co := float64(us.Cost) * scale
	or, ok := rq.orgs[us.Organisation]
	if !ok {
		// An organisation that only other entries serve still takes part in
		// the fair shares, with weight 1 since reports have no weights.
		or = rq.org(us.Organisation, 1)
	}
	or.peerUsage += co
	rq.usage += co
}

// level is the state of one level; see levelsPerRank.
type level struct {
	running int
	// used is the exponential moving average of running.
	used float64
	// peersRunning and peersUsed are the sums over the other entries.
	peersRunning float64
	peersUsed    float64
	// runningAtReport is running at the time of the other entries' reports.
	runningAtReport int
}

// tier returns overShare if an organisation is over its fair share of the rank's
// usage, and withinShare otherwise.
func (rq *rankQueue) tier(or *orgQueue) int {
	fair := rq.usage * or.weight / rq.totalWeight
	if or.localUsage+or.peerUsage > overShareTolerance*fair {
		return overShare
	}
	return withinShare
}

// mayStart reports whether the level with the given index of its rank and tier may
// use another slot. A level's limit bounds the slots that it and all less
// protected levels use together, so that a reserve for the more protected levels
// stays free. Since a start counts against the limits of all more protected levels
// too, mayStart checks these as well as the level's own.
func (qu *Queue) mayStart(rank, tier int) bool {
	fleetKnown := qu.updatedAt.Before(qu.fleetUntil)
	ranksAbove := 0.0
	for i := 0; i <= rank; i++ {
		within := 0.0
		for j := range levelsPerRank {
			if i == rank && j > tier {
				break
			}
			reserve := max(reserveFor(ranksAbove), qu.ranks[i].Headroom*qu.totalCapacity(fleetKnown)) + reserveFor(within)
			if !qu.hasRoom(i, j, reserve, fleetKnown) {
				return false
			}
			within += qu.ranks[i].levels[j].fleetUsed(fleetKnown)
		}
		ranksAbove += within
	}
	return true
}

// hasRoom reports whether a level and all less protected ones may use another
// slot outside the reserve: either one of this entry's own slots, or one that was
// free over all entries at the time of the reports.
func (qu *Queue) hasRoom(rank, tier int, reserve float64, fleetKnown bool) bool {
	running, runningAtReport, peersRunning := 0, 0, 0.0
	for i, rq := range qu.ranks[rank:] {
		for j := range rq.levels {
			if i == 0 && j < tier {
				continue
			}
			running += rq.levels[j].running
			runningAtReport += rq.levels[j].runningAtReport
			peersRunning += rq.levels[j].peersRunning
		}
	}
	total := qu.totalCapacity(fleetKnown)
	usable := max(0, total-reserve)
	if float64(running+1) <= math.Floor(float64(qu.capacity)*usable/total+qu.dither) {
		return true
	}
	unused := usable - peersRunning - float64(runningAtReport)
	return fleetKnown && float64(running-runningAtReport+1) <= maxSpareShare*unused
}

// totalCapacity returns the pool's slots over all entries, or this entry's own
// slots when the fleet's state is not known.
func (qu *Queue) totalCapacity(fleetKnown bool) float64 {
	if fleetKnown && qu.fleetCapacity > qu.capacity {
		return float64(qu.fleetCapacity)
	}
	return float64(qu.capacity)
}

// fleetUsed returns the level's mean use over all entries, or at this entry alone
// when the fleet's state is not known.
func (le *level) fleetUsed(fleetKnown bool) float64 {
	if fleetKnown {
		return le.used + le.peersUsed
	}
	return le.used
}

// reserveFor returns the slots that almost always suffice for work that uses
// the given number on average. It assumes Poisson arrivals, whose standard
// deviation is the square root of the mean.
func reserveFor(used float64) float64 {
	return used + reserveDeviations*math.Sqrt(used)
}
