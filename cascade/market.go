package cascade

import (
	"math"
	"time"
)

const (
	// idlePrice is the price of room at idle endpoints, pressurePrice what is added at a pressure
	// of 1. At price 1 an average request must gain all that an answer can be worth.
	idlePrice     = 0.008
	pressurePrice = 0.1
	// minFactor and maxFactor bound the factor by which the price is corrected, factorRate is
	// how fast its logarithm changes, in a second at a pressure of 0 or 2, and maxFactorChange
	// bounds the change at higher pressures.
	minFactor       = 0.5
	maxFactor       = 3
	factorRate      = 0.05
	maxFactorChange = 2
	// maxPriceInterval is the longest time between two requests that changes the factor.
	maxPriceInterval = time.Second
	// marketWindow is the number of requests over which value and work are averaged.
	marketWindow = 200
)

// market holds the price of one service's engine time. It is the dual price of the constraint
// that the mean backlog of the service's endpoints stays where the routes' latency targets
// can be met: it rises while the backlog is above that, and falls while it is below.
type market struct {
	price     float64
	factor    float64
	updatedAt time.Time
	// value and work are the means of the requests' values and of the largest model's work
	// for them, over seen requests.
	value float64
	work  float64
	seen  float64
	// tolerated is the mean of the requests' tolerated backlogs.
	tolerated float64
}

func newMarket(now time.Time) *market { return &market{price: idlePrice, factor: 1, updatedAt: now} }

// add adds a request to the means.
func (ma *market) add(value, work, tolerated float64) {
	ma.seen = min(marketWindow, ma.seen+1)
	ma.value += (value - ma.value) / ma.seen
	ma.work += (work - ma.work) / ma.seen
	ma.tolerated += (tolerated - ma.tolerated) / ma.seen
}

// update changes the price by the mean backlog of the endpoints. There must have been a request.
func (ma *market) update(now time.Time, backlog float64) {
	pressure := backlog / ma.tolerated
	since := min(now.Sub(ma.updatedAt), maxPriceInterval).Seconds()
	ma.updatedAt = now
	change := factorRate * since * min(maxFactorChange, pressure-1)
	ma.factor = min(maxFactor, max(minFactor, ma.factor*math.Exp(change)))
	ma.price = ma.factor * (idlePrice + pressurePrice*pressure*pressure*pressure)
}

// perSecond returns the price of a second of engine time, in the unit of requests' values.
func (ma *market) perSecond() float64 {
	if ma.work <= 0 {
		return 0
	}
	return ma.price * ma.value / ma.work
}
