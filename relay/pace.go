package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// paceEvents is the number of events after which a stream's pace is observed. In shorter
	// streams it is observed at the end, from minPaceEvents on.
	paceEvents    = 6
	minPaceEvents = 3
	// paceSmoothing is the weight of a measurement in the usual gap.
	paceSmoothing = 0.05
)

// pace measures the time between the events of one stream.
type pace struct {
	events   int
	firstAt  time.Time
	lastAt   time.Time
	observed bool
}

// add adds an event.
func (pa *pace) add(now time.Time) {
	if pa.events == 0 {
		pa.firstAt = now
	}
	pa.events++
	pa.lastAt = now
}

// gap returns the mean time between two events.
func (pa *pace) gap() time.Duration { return pa.lastAt.Sub(pa.firstAt) / time.Duration(pa.events-1) }

// paces estimates the usual time between two events of a stream, by service and model.
//
// mu guards the map. No other lock is taken while it is held.
type paces struct {
	mu    sync.Mutex
	byKey map[latencyKey]float64
}

func newPaces() *paces { return &paces{byKey: map[latencyKey]float64{}} }

// observe adds a stream's gap.
func (ps *paces) observe(key latencyKey, gap time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	usual, ok := ps.byKey[key]
	if !ok {
		usual = gap.Seconds()
	}
	ps.byKey[key] = usual + paceSmoothing*(gap.Seconds()-usual)
}

// ratio returns a gap as a multiple of the usual one, 0 if that is not known.
func (ps *paces) ratio(key latencyKey, gap time.Duration) float64 {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.byKey[key] <= 0 {
		return 0
	}
	return gap.Seconds() / ps.byKey[key]
}

// notePace notes an event of the stream.
func (an *answer) notePace() {
	an.pace.add(time.Now())
	if an.pace.events == paceEvents {
		an.observePace()
	}
}

// notePaceAtEnd notes that the stream is complete.
func (an *answer) notePaceAtEnd() {
	if an.pace.events >= minPaceEvents {
		an.observePace()
	}
}

// observePace compares the stream's pace, once, with the usual one.
func (an *answer) observePace() {
	if an.pace.observed {
		return
	}
	an.pace.observed = true
	an.router.releases.observePace(an.call.service.ID, an.endpoint, an.call.modelID(), an.pace.gap())
}

// observePace adds the time between two events of a stream from an endpoint. Those of a
// candidate do not change what is usual.
func (rs *releaseSelector) observePace(id policy.ServiceID, en policy.Endpoint, model policy.ModelID, gap time.Duration) {
	key := latencyKey{id, model}
	ratio := rs.paces.ratio(key, gap)
	candidate := rs.update(id, en, func(st *rolloutState, candidate bool) {
		switch {
		case ratio == 0:
		case candidate:
			st.health.CandidatePace(ratio)
		default:
			st.health.StablePace(ratio)
		}
	})
	if !candidate {
		rs.paces.observe(key, gap)
	}
}
