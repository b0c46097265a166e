package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// shortLine replays requests that wait while places become free one after the other.
type shortLine struct {
	*admission.Shortage
	now time.Time
	// gap is the time between two places that become free.
	gap time.Duration
	// offered are the requests that wait or waited.
	names map[*admission.Waiter]string
}

// newShortLine returns a line at which places have become free for a while.
func newShortLine(gap time.Duration) *shortLine {
	sl := &shortLine{Shortage: admission.NewShortage(), now: start, gap: gap, names: map[*admission.Waiter]string{}}
	for range 100 {
		sl.now = sl.now.Add(gap)
		sl.Freed(sl.now)
	}
	return sl
}

// waiter returns a request that has just arrived, waits for a second at most, has a target of two
// seconds and a work of 100 ms.
func (sl *shortLine) waiter(name string) *admission.Waiter {
	wa := &admission.Waiter{
		Organisation: "o", Since: sl.now, Target: sl.now.Add(2 * time.Second), Work: 0.1, Until: sl.now.Add(time.Second),
	}
	sl.names[wa] = name
	return wa
}

// offer offers a request, and returns those that were turned away for it.
func (sl *shortLine) offer(wa *admission.Waiter) (why admission.TurnAway, displaced []string) {
	why, out := sl.Offer(sl.now, wa)
	for _, other := range out {
		displaced = append(displaced, sl.names[other])
	}
	return why, displaced
}

// place has one place become free, and returns the request that gets it, "" for none.
func (sl *shortLine) place() string {
	sl.now = sl.now.Add(sl.gap)
	sl.Freed(sl.now)
	wa := sl.Next(sl.now)
	if wa == nil {
		return ""
	}
	sl.took(wa)
	return sl.names[wa]
}

func (sl *shortLine) took(wa *admission.Waiter) {
	sl.Leave(wa)
	sl.Took(sl.now, wa.Organisation, wa.Urgency, wa.Work)
}

// TestUrgentRequestGoesBeforeABurstOfLessUrgentOnes has an urgent request come while a burst of
// less urgent ones waits, as many as will be served in time: it gets the next place, and the one
// that is then too many is turned away at once.
func TestUrgentRequestGoesBeforeABurstOfLessUrgentOnes(t *testing.T) {
	sl := newShortLine(100 * time.Millisecond)
	waiting := 0
	for n := range 20 {
		wa := sl.waiter(fmt.Sprint("burst ", n))
		wa.Urgency = 2
		if why, _ := sl.offer(wa); why == admission.NotTurnedAway {
			waiting++
		}
	}
	qt.Assert(t, waiting >= 9 && waiting <= 11, qt.IsTrue, qt.Commentf("%d wait, 10 places in a second", waiting))
	for n := range 3 {
		why, displaced := sl.offer(sl.waiter(fmt.Sprint("urgent ", n)))
		qt.Assert(t, why, qt.Equals, admission.NotTurnedAway)
		qt.Assert(t, displaced, qt.DeepEquals, []string{fmt.Sprint("burst ", waiting-1-n)})
	}
	for n := range 3 {
		qt.Assert(t, sl.place(), qt.Equals, fmt.Sprint("urgent ", n))
	}
	qt.Assert(t, sl.place(), qt.Equals, "burst 0")
}

// TestLessUrgentRequestsKeepAFloor has urgent requests come as often as places become free. The
// less urgent ones that wait get floorShare of the places.
func TestLessUrgentRequestsKeepAFloor(t *testing.T) {
	sl, low := newShortLine(10*time.Millisecond), 0
	for range 200 {
		ur, lo := sl.waiter("urgent"), sl.waiter("low")
		lo.Urgency = 2
		sl.offer(ur)
		sl.offer(lo)
		if sl.place() == "low" {
			low++
		}
	}
	qt.Assert(t, low >= 15 && low <= 25, qt.IsTrue, qt.Commentf("%d of 200", low))
}

// TestHotOrganisationPaysForItself has one organisation ask for 9 of 10 places, and more than there
// are. The requests of the others all get one, and wait for no longer than for a few places.
func TestHotOrganisationPaysForItself(t *testing.T) {
	sl := newShortLine(20 * time.Millisecond)
	refused, served := map[string]int{}, map[string]int{}
	for n := range 300 {
		for hot := range 3 {
			wa := sl.waiter("hot")
			wa.Organisation = "hot"
			if n%4 == 0 && hot == 0 {
				wa.Organisation = policy.OrganisationID(fmt.Sprint("other ", n%5))
				sl.names[wa] = "other"
			}
			name := sl.names[wa]
			why, displaced := sl.offer(wa)
			if why != admission.NotTurnedAway {
				refused[name]++
			}
			for _, other := range displaced {
				refused[other]++
			}
		}
		served[sl.place()]++
	}
	qt.Check(t, refused["other"], qt.Equals, 0)
	qt.Check(t, served["other"] >= 73, qt.IsTrue, qt.Commentf("%d of 75 served, %v", served["other"], refused))
	qt.Check(t, served["hot"] >= 200, qt.IsTrue, qt.Commentf("%d places left for the hot one", served["hot"]))
}

// TestSmallWorkGoesBeforeLargeButDoesNotStarveIt has large requests wait, and a stream of small ones.
func TestSmallWorkGoesBeforeLargeButDoesNotStarveIt(t *testing.T) {
	sl := newShortLine(20 * time.Millisecond)
	large := sl.waiter("large")
	large.Work = 0.4
	sl.offer(large)
	sl.offer(sl.waiter("small"))
	qt.Assert(t, sl.place(), qt.Equals, "small")
	small := 0
	for sl.offer(sl.waiter("small")); sl.place() == "small"; sl.offer(sl.waiter("small")) {
		small++
	}
	qt.Assert(t, small >= 10 && small <= 20, qt.IsTrue, qt.Commentf("%d small ones first", small))
}

// TestRequestThatCanBeInTimeGoesBeforeOneThatCannot has requests wait whose target cannot be met
// any more.
func TestRequestThatCanBeInTimeGoesBeforeOneThatCannot(t *testing.T) {
	sl := newShortLine(20 * time.Millisecond)
	for n := range 3 {
		late := sl.waiter(fmt.Sprint("late ", n))
		late.Since, late.Target = sl.now.Add(-2*time.Second), sl.now
		sl.offer(late)
	}
	sl.offer(sl.waiter("in time"))
	qt.Assert(t, sl.place(), qt.Equals, "in time")
	qt.Assert(t, sl.place(), qt.Equals, "late 0")
}

// TestRequestsDoNotWaitForPlacesThatVanished has places stop to become free while requests wait,
// as when endpoints crash. They learn it before their wait is over, and newcomers at once.
func TestRequestsDoNotWaitForPlacesThatVanished(t *testing.T) {
	sl := newShortLine(20 * time.Millisecond)
	var was []*admission.Waiter
	for n := range 40 {
		wa := sl.waiter(fmt.Sprint(n))
		wa.Until, wa.Target = sl.now.Add(8*time.Second), sl.now.Add(10*time.Second)
		why, _ := sl.offer(wa)
		qt.Assert(t, why, qt.Equals, admission.NotTurnedAway)
		was = append(was, wa)
	}
	sl.now = sl.now.Add(4 * time.Second)
	qt.Check(t, sl.Check(sl.now, was[39]), qt.Equals, admission.PlacesVanished)
	qt.Check(t, sl.Check(sl.now, was[0]), qt.Equals, admission.NotTurnedAway)
	why, _ := sl.offer(sl.waiter("new"))
	qt.Check(t, why, qt.Equals, admission.TurnNotExpected)
}

// TestNobodyWaitsWherePlacesAreNotToBeExpected is an idle service whose endpoints have no room.
func TestNobodyWaitsWherePlacesAreNotToBeExpected(t *testing.T) {
	sl := &shortLine{Shortage: admission.NewShortage(), now: start, names: map[*admission.Waiter]string{}}
	why, _ := sl.offer(sl.waiter("first"))
	qt.Assert(t, why, qt.Equals, admission.TurnNotExpected)
	wa := sl.waiter("unheard")
	wa.Unbounded = true
	why, _ = sl.offer(wa)
	qt.Assert(t, why, qt.Equals, admission.NotTurnedAway)
}

// TestRefusedRequestsComeBackOneAfterTheOther has many requests be refused at one moment. They
// come back as places become free, while an answer is still of use.
func TestRefusedRequestsComeBackOneAfterTheOther(t *testing.T) {
	sl := newShortLine(100 * time.Millisecond)
	earliest, deadline := sl.now.Add(300*time.Millisecond), sl.now.Add(3*time.Second)
	last := time.Time{}
	for n := range 15 {
		at := sl.ReturnAt(sl.now, sl.waiter("refused"), earliest, deadline)
		qt.Assert(t, at.Before(earliest), qt.IsFalse)
		if n > 0 {
			qt.Assert(t, at.Sub(last) >= 90*time.Millisecond && at.Sub(last) <= 120*time.Millisecond, qt.IsTrue, qt.Commentf("%s after the one before", at.Sub(last)))
		}
		last = at
	}
	for range 15 {
		at := sl.ReturnAt(sl.now, sl.waiter("refused"), earliest, deadline)
		qt.Assert(t, at.Before(deadline), qt.IsTrue)
	}
}

// TestNewcomerLooksOnlyAfterThoseBeforeIt guards against newcomers that take the places for which
// others wait, and against one request, for which no free place will do, that holds up all others.
func TestNewcomerLooksOnlyAfterThoseBeforeIt(t *testing.T) {
	sl := newShortLine(20 * time.Millisecond)
	wa := sl.waiter("waits")
	sl.offer(wa)
	sl.now = sl.now.Add(time.Millisecond)
	newcomer := sl.waiter("newcomer")
	qt.Check(t, sl.MayLook(sl.now, newcomer, true), qt.IsFalse)
	qt.Check(t, sl.MayLook(sl.now, newcomer, false), qt.IsTrue)
	sl.Next(sl.now)
	qt.Check(t, sl.MayLook(sl.now, newcomer, false), qt.IsFalse)
	urgent := sl.waiter("urgent")
	urgent.Urgency = -1
	qt.Check(t, sl.MayLook(sl.now, urgent, true), qt.IsTrue)
	sl.Looked(sl.now, wa)
	qt.Check(t, sl.MayLook(sl.now, newcomer, false), qt.IsTrue)
}

// TestShortageKeepsItsCounts offers, places and removes requests at random. It fails when a
// request is lost, or gets two places.
func TestShortageKeepsItsCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sl := newShortLine(20 * time.Millisecond)
		waiting := map[*admission.Waiter]bool{}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			sl.now = sl.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "offer") {
				wa := sl.waiter("x")
				wa.Urgency = admission.Urgency(rapid.IntRange(0, 3).Draw(rt, "urgency"))
				wa.Organisation = policy.OrganisationID(fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "organisation")))
				wa.Work = placement.Work(rapid.Float64Range(0, 2).Draw(rt, "work"))
				why, displaced := sl.Offer(sl.now, wa)
				if why == admission.NotTurnedAway {
					waiting[wa] = true
				}
				for _, other := range displaced {
					if !waiting[other] || other == wa {
						rt.Fatalf("displaced a request that did not wait")
					}
					delete(waiting, other)
				}
			} else if wa := sl.Next(sl.now); wa != nil {
				if !waiting[wa] {
					rt.Fatalf("the next request does not wait")
				}
				sl.took(wa)
				delete(waiting, wa)
			}
			sum := 0
			for _, n := range sl.Waiting() {
				sum += n
			}
			if sum != len(waiting) {
				rt.Fatalf("%d wait, want %d", sum, len(waiting))
			}
		}
	})
}
