package admission

import (
	"math"
	"slices"
	"time"

	"tanagerpoint.example/tanager/quantity"
)

const (
	// rateSmoothing is the time constant of the rates at which places become free and are taken.
	rateSmoothing = time.Second
	// maxPromise is the longest time until a refused request is told to come back.
	maxPromise = 8 * time.Second
	// returnShare is the part of the time that a refused request has left in which it is told to
	// come back. It needs the rest for its way.
	returnShare = 0.75
)

// rate measures how often something happens in a second.
type rate struct {
	value float64
	at    time.Time
}

// perSecond returns the rate.
func (ra rate) perSecond(now time.Time) float64 {
	return ra.value * math.Exp(-now.Sub(ra.at).Seconds()/rateSmoothing.Seconds())
}

// add counts one event.
func (ra rate) add(now time.Time) rate {
	return rate{value: ra.perSecond(now) + 1/rateSmoothing.Seconds(), at: now}
}

// halved returns what is left of a usage after a time.
func halved(age time.Duration) float64 { return math.Exp2(-age.Seconds() / usageHalfLife.Seconds()) }

// rateFor returns the rate at which places become free for requests of an urgency: what more
// urgent ones do not take, and floorShare at least.
func (sh *Shortage) rateFor(now time.Time, ur Urgency) float64 {
	freed := sh.freed.perSecond(now)
	left := freed
	for other, ra := range sh.taken {
		if other < ur {
			left -= ra.perSecond(now)
		}
	}
	return max(left, floorShare*freed)
}

// ReturnAt returns when a request that is refused should come back: when those before it, and
// those who were told to come back before, will have had their place. earliest is the soonest
// time; after deadline an answer is of no use.
func (sh *Shortage) ReturnAt(now time.Time, wa *Waiter, earliest, deadline time.Time) time.Time {
	gap := quantity.Seconds(1 / max(sh.rateFor(now, wa.Urgency), 1/maxPromise.Seconds()))
	left := deadline.Sub(now) - quantity.Seconds(float64(wa.Work))
	latest := now.Add(min(maxPromise, time.Duration(returnShare*float64(left))))
	at := maxTime(earliest, now.Add(time.Duration(sh.ahead(now, wa))*gap), sh.promisedAt.Add(gap))
	if at.After(latest) {
		return maxTime(earliest, latest)
	}
	sh.promisedAt = at
	return at
}

func maxTime(ats ...time.Time) time.Time { return slices.MaxFunc(ats, time.Time.Compare) }
