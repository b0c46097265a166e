package relay

import (
	"math"
	"sync"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// backlogSmoothing is the time over which a router's own backlog is averaged
// when it stands for those of many others: at one moment it is one request or none.
const backlogSmoothing = 1500 * time.Millisecond

// backlogAverages averages the work that waits at the mean endpoint of each service.
//
// mu guards the map. No other lock is taken while it is held.
type backlogAverages struct {
	mu        sync.Mutex
	byService map[policy.ServiceID]movingAverage
}

// movingAverage is a mean over time in which the past counts less and less.
type movingAverage struct {
	value placement.Work
	at    time.Time
}

func newBacklogAverages() *backlogAverages {
	return &backlogAverages{byService: map[policy.ServiceID]movingAverage{}}
}

// add takes a sample in and gives the average.
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
