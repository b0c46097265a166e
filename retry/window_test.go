package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const length = 10 * time.Second

// TestBurstOfFailuresFindsItsBudget has many requests fail at the same moment
// after 8 s without retries, as when a crash breaks many streams. A token bucket
// of five retries refused most of them; the window must allow the retries that
// the requests of those seconds earned, and no more.
func TestBurstOfFailuresFindsItsBudget(t *testing.T) {
	wi := retry.NewWindow(start, length, 0.6, 5)
	now := start
	for range 80 {
		wi.Received(now)
		now = now.Add(100 * time.Millisecond)
	}
	allowed := 0
	for range 100 {
		if wi.Take(now, 1) {
			allowed++
		}
	}
	qt.Assert(t, allowed >= 40, qt.IsTrue, qt.Commentf("allowed %d retries", allowed))
	qt.Assert(t, allowed <= 53, qt.IsTrue, qt.Commentf("allowed %d retries", allowed))
}

func TestShareLeavesTheRest(t *testing.T) {
	wi := retry.NewWindow(start, length, 0, 10)
	for range 5 {
		qt.Assert(t, wi.Take(start, 0.5), qt.IsTrue)
	}
	qt.Assert(t, wi.Take(start, 0.5), qt.IsFalse)
	for range 5 {
		qt.Assert(t, wi.Take(start, 1), qt.IsTrue)
	}
	qt.Assert(t, wi.Take(start, 1), qt.IsFalse)
}

// TestNoWindowHasMoreThanRequestsAllow takes every retry it can at random times.
// Each retry is limited by the requests of the window that ends at it. The earliest
// retry of a window may thus use requests received up to a window's length before
// it, so the retries of one window are bounded by the requests of two.
func TestNoWindowHasMoreThanRequestsAllow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wi := retry.NewWindow(start, length, 0.5, 3)
		var received, taken []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "receive") {
				wi.Received(now)
				received = append(received, now)
			}
			allowed, took := wi.Allows(now, 1), wi.Take(now, 1)
			if took != allowed {
				rt.Fatalf("Allows says %t, and Take %t", allowed, took)
			}
			if took {
				taken = append(taken, now)
			}
			within := func(times []time.Time, past time.Duration) (n int) {
				for _, at := range times {
					if now.Sub(at) < past {
						n++
					}
				}
				return n
			}
			if float64(within(taken, length)) > 0.5*float64(within(received, 2*length))+3 {
				rt.Fatalf("%d retries in a window, for %d requests in two", within(taken, length), within(received, 2*length))
			}
		}
	})
}
