package relay

import (
	"math"
	"sync"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// pressureSmoothing is the time over which a router's own backlog is averaged
// when it stands for those of many others: at one moment it is one request or none.
const pressureSmoothing = 1500 * time.Millisecond

// pressures averages the work that waits at the mean endpoint of each service.
//
// mu guards the map. No other lock is taken while it is held.
type pressures struct {
	mu        sync.Mutex
	byService map[policy.ServiceID]average
}

// average is a mean over time in which the past counts less and less.
type average struct {
	value placement.Work
	at    time.Time
}

func newPressures() *pressures { return &pressures{byService: map[policy.ServiceID]average{}} }

// add takes a sample in and gives the average.
func (ps *pressures) add(now time.Time, id policy.ServiceID, sample placement.Work) placement.Work {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	av := ps.byService[id]
	weight := placement.Work(1 - math.Exp(-now.Sub(av.at).Seconds()/pressureSmoothing.Seconds()))
	av.value += weight * (sample - av.value)
	av.at = now
	ps.byService[id] = av
	return av.value
}
