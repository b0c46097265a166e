package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/relay"
)

// placesAt is the time of the tests of the queue for places.
var placesAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// waiting returns a queue in which requests of these urgencies have waited for a second.
func waiting(t *testing.T, urgencies ...admission.Urgency) (pq relay.PlaceQueue, out []*admission.Waiter) {
	t.Helper()
	pq = relay.NewPlaceQueue()
	since := placesAt.Add(-time.Second)
	for _, ur := range urgencies {
		wa := &admission.Waiter{
			Urgency: ur, Since: since, Target: placesAt.Add(time.Minute), Until: placesAt.Add(time.Minute), Unbounded: true, Turn: make(chan struct{}, 1),
		}
		qt.Assert(t, pq.Join(since, wa), qt.Equals, admission.NotTurnedAway)
		out = append(out, wa)
	}
	return pq, out
}

// TestNobodyLooksBeforeTheRequestWhoseTurnItIs has a place become free for the first of two requests.
// The second one could look, and take the place, as soon as the first one had asked for its turn.
func TestNobodyLooksBeforeTheRequestWhoseTurnItIs(t *testing.T) {
	pq, was := waiting(t, 0, 2)
	pq.Free(placesAt)
	qt.Assert(t, was[0].Turn, qt.HasLen, 1)
	_, may := pq.Turn(placesAt, was[0])
	qt.Assert(t, may, qt.IsTrue)
	_, may = pq.Turn(placesAt, was[1])
	qt.Assert(t, may, qt.IsFalse)
	pq.Looked(placesAt, was[0])
	_, may = pq.Turn(placesAt, was[1])
	qt.Assert(t, may, qt.IsTrue)
}

// TestRequestThatMayNotLookHoldsNobodyUp has the second of two requests ask for its turn out of
// order. This does not count as a look: the first one's next look lets it look too.
func TestRequestThatMayNotLookHoldsNobodyUp(t *testing.T) {
	pq, was := waiting(t, 0, 2)
	_, may := pq.Turn(placesAt, was[1])
	qt.Assert(t, may, qt.IsFalse)
	_, may = pq.Turn(placesAt, was[0])
	qt.Assert(t, may, qt.IsTrue)
	pq.Looked(placesAt, was[0])
	_, may = pq.Turn(placesAt, was[1])
	qt.Assert(t, may, qt.IsTrue)
}

// TestDisplacedRequestDoesNotLook has a request displaced while another one waits whose turn it is.
// It looked for a place once more, before that one.
func TestDisplacedRequestDoesNotLook(t *testing.T) {
	pq, was := waiting(t, 0, 2)
	pq.Leave(placesAt, was[1])
	why, may := pq.Turn(placesAt, was[1])
	qt.Assert(t, why, qt.Equals, admission.Displaced)
	qt.Assert(t, may, qt.IsFalse)
}

// TestRequestThatWaitedInVainLooksOnceMore has a request's time end while one before it is to look.
// It may look, as what kept the endpoints from it may have ended; while it waits it may not.
func TestRequestThatWaitedInVainLooksOnceMore(t *testing.T) {
	pq, was := waiting(t, 0, 2)
	why, may := pq.Turn(placesAt, was[1])
	qt.Assert(t, why, qt.Equals, admission.NotTurnedAway)
	qt.Assert(t, may, qt.IsFalse)
	was[1].Until = placesAt
	why, may = pq.Turn(placesAt, was[1])
	qt.Assert(t, why, qt.Equals, admission.WaitedInVain)
	qt.Assert(t, may, qt.IsTrue)
}
