package admission

import (
	"container/heap"
	"math"
	"time"

	"tanagerpoint.example/tanager/policy"
)

// A level is a rank's organisations within their share, or those over it. More
// protected levels come first: level 2n is within, level 2n+1 over the share
// of the n-th rank.
const levelsPerRank = 2

const (
	withinShare = 0
	overShare   = 1
)

const (
	// overShareFactor times its share of a rank's work puts an organisation
	// over it.
	overShareFactor = 1.1
	// reserveDeviations of a more protected level's use are kept free for it,
	// beside its mean.
	reserveDeviations = 3.0
	// spareShare of the fleet's free slots may be used by one entry beyond its
	// own, until the next exchange.
	spareShare = 0.5
	// ditherInterval is the time for which limits are rounded in one way.
	ditherInterval = 2 * time.Second
	// goldenRatio spreads successive roundings evenly.
	goldenRatio = 0.6180339887498949
	// fleetLifetime is how long the other entries' reports are valid.
	fleetLifetime = 4 * time.Second
)

// LevelUsage is the slots used by a level.
type LevelUsage struct {
	Rank      policy.RankID
	OverShare bool
	Running   Slots
	// Used is Running, smoothed.
	Used Slots
}

// Usage is one organisation's decayed served cost within a rank.
type Usage struct {
	Organisation policy.OrganisationID
	Rank         policy.RankID
	Cost         Cost
}

// Report is what a queue publishes to the other entries.
type Report struct {
	Organisations []Usage
	Levels        []LevelUsage
}

// Fleet is what the other entries reported: the pool's slots for all entries, and
// the sums of the others' reports.
type Fleet struct {
	Capacity Slots
	Report
}

// Report gives what this queue serves, for the other entries.
func (qu *Queue) Report(now time.Time) Report {
	qu.advance(now)
	var re Report
	scale := 1 / qu.inflation(now)
	for _, rq := range qu.ranks {
		for id, or := range rq.orgs {
			if co := or.used * scale; co >= 1 {
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

// SetFleet processes what the other entries reported. It is valid for a few seconds;
// without it the queue keeps to its own slots and its own usage.
func (qu *Queue) SetFleet(now time.Time, fl Fleet) {
	qu.advance(now)
	qu.fleetCapacity = fl.Capacity
	qu.fleetUntil = now.Add(fleetLifetime)
	scale := qu.inflation(now)
	for _, rq := range qu.ranks {
		for tier := range rq.levels {
			le := &rq.levels[tier]
			le.othersRunning, le.othersUsed, le.runningThen = 0, 0, le.running
		}
		for _, or := range rq.orgs {
			rq.usage -= or.remote
			or.remote = 0
		}
	}
	for _, lu := range fl.Levels {
		if rq := qu.rank(lu.Rank); rq != nil {
			tier := withinShare
			if lu.OverShare {
				tier = overShare
			}
			rq.levels[tier].othersRunning += float64(lu.Running)
			rq.levels[tier].othersUsed += float64(lu.Used)
		}
	}
	for _, us := range fl.Organisations {
		qu.addRemote(us, scale)
	}
	for _, rq := range qu.ranks {
		heap.Init(&rq.ready)
	}
}

func (qu *Queue) addRemote(us Usage, scale float64) {
	rq := qu.rank(us.Rank)
	if rq == nil {
		return
	}
	co := float64(us.Cost) * scale
	or, ok := rq.orgs[us.Organisation]
	if !ok {
		// An organisation that is served elsewhere counts among the active.
		or = rq.org(us.Organisation, 1)
	}
	or.remote += co
	rq.usage += co
}

// level is the state of one level.
type level struct {
	running int
	used    float64
	// othersRunning and othersUsed are the other entries', runningThen this
	// one's at the same time.
	othersRunning float64
	othersUsed    float64
	runningThen   int
}

// tier tells whether an organisation is over its share of its rank's work.
func (rq *rankQueue) tier(or *orgQueue) int {
	fair := rq.usage * or.share / rq.activeShares
	if or.used+or.remote > overShareFactor*fair {
		return overShare
	}
	return withinShare
}

// mayStart tells whether a level may have another slot. It counts against the
// limits of that level and of all more protected ones: each limits what it and
// the less protected ones use together, so that what the more protected are
// expected to need stays free.
func (qu *Queue) mayStart(rank, tier int) bool {
	known := qu.at.Before(qu.fleetUntil)
	ranksAbove := 0.0
	for i := 0; i <= rank; i++ {
		within := 0.0
		for j := range levelsPerRank {
			if i == rank && j > tier {
				break
			}
			reserve := max(expectedNeed(ranksAbove), qu.ranks[i].Headroom*qu.whole(known)) + expectedNeed(within)
			if !qu.hasRoom(i, j, reserve, known) {
				return false
			}
			within += qu.ranks[i].levels[j].fleetUsed(known)
		}
		ranksAbove += within
	}
	return true
}

// hasRoom tells whether a level and those less protected may use another slot,
// of all but a reserve: of this entry's own, or of those free in the fleet.
func (qu *Queue) hasRoom(rank, tier int, reserve float64, known bool) bool {
	below, belowThen, othersBelow := 0, 0, 0.0
	for i, rq := range qu.ranks[rank:] {
		for j := range rq.levels {
			if i == 0 && j < tier {
				continue
			}
			below += rq.levels[j].running
			belowThen += rq.levels[j].runningThen
			othersBelow += rq.levels[j].othersRunning
		}
	}
	whole := qu.whole(known)
	left := max(0, whole-reserve)
	if float64(below+1) <= math.Floor(float64(qu.capacity)*left/whole+qu.dither) {
		return true
	}
	free := left - othersBelow - float64(belowThen)
	return known && float64(below-belowThen+1) <= spareShare*free
}

// whole is the pool's slots for all entries, as far as they are known.
func (qu *Queue) whole(known bool) float64 {
	if known && qu.fleetCapacity > qu.capacity {
		return float64(qu.fleetCapacity)
	}
	return float64(qu.capacity)
}

func (le *level) fleetUsed(known bool) float64 {
	if known {
		return le.used + le.othersUsed
	}
	return le.used
}

// expectedNeed gives the slots that are enough at nearly every moment for work
// that uses some on average: its arrivals are taken for a Poisson process.
func expectedNeed(used float64) float64 {
	return used + reserveDeviations*math.Sqrt(used)
}
