package endpoint

import "time"

const (
	// doubtInterval is the shortest time between two rounds of probes while the path is in
	// doubt, and lostInterval the time between them while it is lost.
	doubtInterval = 250 * time.Millisecond
	lostInterval  = 500 * time.Millisecond
	// provenFor is how long after a new connection a failure raises no doubt.
	provenFor = 100 * time.Millisecond
)

// PathState is what a VM knows of its path to a service's endpoints. Only a new connection proves the
// path: while it is lost, open connections may live on. The zero value is a sound path. It is
// not safe for concurrent use.
type PathState struct {
	lost bool
	// doubted reports whether a connection has failed since the path was last proven.
	doubted bool
	// urgent reports whether the next round of probes is due at once.
	urgent bool
	// provenAt is when a new connection was last made, roundAt when the last round of probes
	// began.
	provenAt time.Time
	roundAt  time.Time
}

// Lost reports whether the path is lost.
func (ps *PathState) Lost() bool { return ps.lost }

// Settled reports whether it is known if the path is lost.
func (ps *PathState) Settled() bool { return !ps.doubted }

// Failed records that a connection to an endpoint failed.
func (ps *PathState) Failed(now time.Time) {
	if !ps.lost && now.Sub(ps.provenAt) >= provenFor {
		ps.doubted = true
	}
}

// Doubt records that only a connection which is made from now on proves the path, and that somebody waits
// to know.
func (ps *PathState) Doubt() { ps.doubted, ps.urgent = !ps.lost, !ps.lost }

// Proved records that a new connection was made, and reports whether the path was lost before.
func (ps *PathState) Proved(now time.Time) (back bool) {
	back = ps.lost
	ps.lost, ps.doubted, ps.urgent, ps.provenAt = false, false, false, now
	return back
}

// NextRound returns when the next round of probes is due, and false if none is.
func (ps *PathState) NextRound() (time.Time, bool) {
	switch {
	case ps.lost:
		return ps.roundAt.Add(lostInterval), true
	case ps.urgent:
		return time.Time{}, true
	case ps.doubted:
		return ps.roundAt.Add(doubtInterval), true
	default:
		return time.Time{}, false
	}
}

// RoundBegan records that a round of probes begins.
func (ps *PathState) RoundBegan(now time.Time) { ps.roundAt, ps.urgent = now, false }

// RoundFailed records that all probes of the last round failed, and reports whether the path
// is found to be lost by that. A connection made meanwhile proves the path.
func (ps *PathState) RoundFailed() (lost bool) {
	if ps.lost || !ps.doubted || !ps.provenAt.Before(ps.roundAt) {
		return false
	}
	ps.lost, ps.doubted = true, false
	return true
}
