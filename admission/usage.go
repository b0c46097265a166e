package admission

import (
	"math"
	"time"
)

// advance brings credits and smoothed shares up to a time.
func (qu *Queue) advance(now time.Time) {
	dt := now.Sub(qu.at).Seconds()
	if dt <= 0 {
		return
	}
	qu.at = now
	weight := 1 - math.Exp(-dt/shareSmoothing.Seconds())
	for _, rq := range qu.ranks {
		qu.addCredit(rq, dt)
		for i := range rq.levels {
			le := &rq.levels[i]
			le.used += weight * (float64(le.running) - le.used)
		}
	}
	if now.After(qu.ditherUntil) {
		_, qu.dither = math.Modf(qu.dither + goldenRatio)
		qu.ditherUntil = now.Add(ditherInterval)
	}
	if qu.inflation(now) > renormaliseAt {
		qu.renormalise(now)
	}
}

// addCredit gives a rank its floor for a time, less what it used.
func (qu *Queue) addCredit(rq *rankQueue, dt float64) {
	floor := rq.Floor * float64(qu.capacity)
	limit := floor*creditLimit + creditBase
	rq.credit = min(limit, max(-limit, rq.credit+(floor-float64(rq.running))*dt))
	if rq.waiting == 0 {
		rq.credit = min(idleCredit, rq.credit)
	}
}

// renormalise moves the epoch, and forgets organisations without usage.
func (qu *Queue) renormalise(now time.Time) {
	scale := 1 / qu.inflation(now)
	for _, rq := range qu.ranks {
		rq.usage = 0
		for id, or := range rq.orgs {
			or.used *= scale
			or.remote *= scale
			if or.score() < forgetBelow && len(or.wait) == 0 {
				rq.activeShares -= or.share
				delete(rq.orgs, id)
				continue
			}
			rq.usage += or.used + or.remote
		}
	}
	qu.epoch = now
}
