package admission

import (
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
)

const (
	// floorShare is the least share of the places that the requests of each urgency get while
	// more urgent ones wait.
	floorShare = 0.1
	// fairTolerance times the mean usage of the other organisations is the usage above which an
	// organisation's requests come after those of others.
	fairTolerance = 2
	// minUsage is the usage in seconds of work below which an organisation counts as idle.
	minUsage = 0.01
)

// before reports whether a request gets a place before another one: one whose urgency is owed
// a place, the more urgent one, that of an organisation which uses no more than its part, one that
// can still be in time, and the one that waited longer. The larger one of two waits as much longer
// as it is more work.
func (sh *Shortage) before(now time.Time, wa, other *Waiter) bool {
	if a, b := sh.owed(wa.Urgency), sh.owed(other.Urgency); a != b {
		return a
	}
	if wa.Urgency != other.Urgency {
		return wa.Urgency < other.Urgency
	}
	if a, b := sh.usage.over(now, wa.Organisation), sh.usage.over(now, other.Organisation); a != b {
		return b
	}
	if a, b := wa.canMeet(now), other.canMeet(now); a != b {
		return a
	}
	if or := wa.finish().Compare(other.finish()); or != 0 {
		return or < 0
	}
	return wa.number > 0 && (other.number == 0 || wa.number < other.number)
}

// canMeet reports whether a request would be in time if it had a place now.
func (wa *Waiter) canMeet(now time.Time) bool {
	return !now.Add(quantity.Seconds(float64(wa.Work))).After(wa.Target)
}

// finish is when its answer would have begun without waiting.
func (wa *Waiter) finish() time.Time { return wa.Since.Add(quantity.Seconds(float64(wa.Work))) }

// ahead returns how many get a place before a request.
func (sh *Shortage) ahead(now time.Time, wa *Waiter) int {
	out := 0
	for _, other := range sh.waiting {
		if other != wa && sh.before(now, other, wa) {
			out++
		}
	}
	return out
}

// owed reports whether requests of an urgency are owed a place.
func (sh *Shortage) owed(ur Urgency) bool { return sh.credit[ur] >= 1 }

// addCredit gives each urgency that waits behind a request its part of the place that this
// one took, and takes back what the request's own urgency was owed.
func (sh *Shortage) addCredit(took Urgency) {
	sh.credit[took] = max(0, sh.credit[took]-1)
	waits := sh.Waiting()
	for ur := range waits {
		if ur > took {
			sh.credit[ur] += floorShare
		}
	}
	for ur := range sh.credit {
		if waits[ur] == 0 {
			delete(sh.credit, ur)
		}
	}
}

// usageByOrganisation is the work that was placed for each organisation lately.
type usageByOrganisation struct {
	byID  map[policy.OrganisationID]decayingWork
	total decayingWork
	// pruneAt is the number of organisations at which those that are idle are forgotten.
	pruneAt int
}

// minPrune is the least number of organisations at which idle ones are forgotten.
const minPrune = 64

func newUsage() *usageByOrganisation {
	return &usageByOrganisation{byID: map[policy.OrganisationID]decayingWork{}, pruneAt: minPrune}
}

// decayingWork halves in usageHalfLife.
type decayingWork struct {
	value float64
	at    time.Time
}

func (dw decayingWork) now(now time.Time) float64 { return dw.value * halved(now.Sub(dw.at)) }

func (dw decayingWork) add(now time.Time, wo placement.Work) decayingWork {
	return decayingWork{value: dw.now(now) + float64(wo), at: now}
}

func (us *usageByOrganisation) add(now time.Time, id policy.OrganisationID, wo placement.Work) {
	us.byID[id], us.total = us.byID[id].add(now, wo), us.total.add(now, wo)
	if len(us.byID) < us.pruneAt {
		return
	}
	for other, dw := range us.byID {
		if dw.now(now) < minUsage {
			delete(us.byID, other)
		}
	}
	us.pruneAt = max(minPrune, 2*len(us.byID))
}

// over reports whether an organisation uses more than its part. A single one does not.
func (us *usageByOrganisation) over(now time.Time, id policy.OrganisationID) bool {
	if len(us.byID) < 2 {
		return false
	}
	own := us.byID[id].now(now)
	others := (us.total.now(now) - own) / float64(len(us.byID)-1)
	return own > fairTolerance*others
}
