package relay

import (
	"math"
	"sync"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// backlogSmoothing is the time constant of the moving average of a router's own
// backlog. In large groups every other router is assumed to have the same
// average; a single sample would not do, since it is often one request or none.
const backlogSmoothing = 1500 * time.Millisecond

// backlogAverages holds for each service the moving average over time of the mean
// backlog of its endpoints.
//
// mu guards the map. No other lock is taken while it is held.
type backlogAverages struct {
	mu        sync.Mutex
	byService map[policy.ServiceID]movingAverage
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value placement.Work
	at    time.Time
}

func newBacklogAverages() *backlogAverages {
	return &backlogAverages{byService: map[policy.ServiceID]movingAverage{}}
}

// add adds a sample and returns the new average.
func (ba *backlogAverages) add(now time.Time, id policy.ServiceID, sample placement.Work) placement.Work {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ma := ba.byService[id]
	weight := placement.Work(1 - math.Exp(-now.Sub(ma.at).Seconds()/backlogSmoothing.Seconds()))
	ma.value += weight * (sample - ma.value)
	ma.at = now
	ba.byService[id] = ma
	return ma.value
}
