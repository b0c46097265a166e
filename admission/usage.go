package admission

import (
	"math"
	"time"
)

// advance updates the floor credits, the moving averages and the dither to now.
func (qu *Queue) advance(now time.Time) {
	dt := now.Sub(qu.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	qu.updatedAt = now
	weight := 1 - math.Exp(-dt/levelSmoothing.Seconds())
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
	if qu.inflation(now) > maxInflation {
		qu.renormalise(now)
	}
}

// addCredit adds to a rank's credit its floor less the slots that it used, over dt
// seconds. The credit is bounded from above and below.
func (qu *Queue) addCredit(rq *rankQueue, dt float64) {
	floor := rq.Floor * float64(qu.capacity)
	limit := floor*maxCreditSeconds + maxCreditBase
	rq.credit = min(limit, max(-limit, rq.credit+(floor-float64(rq.running))*dt))
	if rq.waiting == 0 {
		rq.credit = min(maxIdleCredit, rq.credit)
	}
}

// renormalise moves the epoch to now, scales all usage accordingly, and drops
// organisations whose usage has decayed. It keeps the inflated usage small.
func (qu *Queue) renormalise(now time.Time) {
	scale := 1 / qu.inflation(now)
	for _, rq := range qu.ranks {
		rq.usage = 0
		for id, or := range rq.orgs {
			or.localUsage *= scale
			or.peerUsage *= scale
			if or.score() < minActiveScore && len(or.tickets) == 0 {
				rq.totalWeight -= or.weight
				delete(rq.orgs, id)
				continue
			}
			rq.usage += or.localUsage + or.peerUsage
		}
	}
	qu.epoch = now
}
