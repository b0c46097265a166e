package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/placement"
)

// firstSuspensionLimit is longer than the first suspension of an endpoint may last.
const firstSuspensionLimit = 800 * time.Millisecond

// placeJobs places so many jobs at a single endpoint.
func placeJobs(t *testing.T, ba *placement.Balancer, jobs int) []placement.Assignment {
	t.Helper()
	var out []placement.Assignment
	for range jobs {
		as, ok := ba.Choose(begin, engines(1), placement.Job{Work: 0.01}, nil, anyEndpoint)
		qt.Assert(t, ok, qt.IsTrue)
		out = append(out, as)
	}
	return out
}

// TestRequestsThatFailTogetherSuspendOnce has all requests at an endpoint fail in one moment,
// as when its connections are reset. Each of them doubled the suspension.
func TestRequestsThatFailTogetherSuspendOnce(t *testing.T) {
	for seed := range uint64(20) {
		ba := placement.NewBalancer(seed, "")
		suspensions := 0
		for _, as := range placeJobs(t, ba, 20) {
			if suspended, _ := ba.Done(begin, as, placement.Failed); suspended {
				suspensions++
			}
		}
		qt.Assert(t, suspensions, qt.Equals, 1)
		qt.Assert(t, ba.Condition(begin, "e0").Suspended, qt.IsTrue)
		cn := ba.Condition(begin.Add(firstSuspensionLimit), "e0")
		qt.Assert(t, cn.Suspended, qt.IsFalse, qt.Commentf("suspended for %s", cn.SuspendedUntil.Sub(begin)))
	}
}

// TestOnlyAProbeDecidesOnASuspension has requests that were sent before a suspension end
// while a probe is under way. The endpoint got a second probe then.
func TestOnlyAProbeDecidesOnASuspension(t *testing.T) {
	for _, re := range []placement.Result{placement.Failed, placement.Neutral} {
		ba := placement.NewBalancer(1, "")
		early := placeJobs(t, ba, 4)
		ba.Done(begin, early[0], placement.Failed)
		ba.Done(begin, early[1], placement.Failed)
		later := begin.Add(firstSuspensionLimit)
		probe, ok := ba.Choose(later, engines(1), placement.Job{Work: 0.01}, nil, anyEndpoint)
		qt.Assert(t, ok, qt.IsTrue)
		ba.Done(later, early[2], re)
		qt.Assert(t, ba.Condition(later, "e0").Suspended, qt.IsTrue, qt.Commentf("a second probe after result %d", re))
		ba.Done(later, probe, placement.Failed)
		qt.Assert(t, ba.Condition(later, "e0").SuspendedUntil.Sub(later) >= 500*time.Millisecond, qt.IsTrue)
		ba.Done(later, early[3], placement.Succeeded)
		qt.Assert(t, ba.Condition(later, "e0").Suspended, qt.IsFalse)
	}
}

// TestProbeOfAnEarlierSuspensionDecidesNothing has the stream that probed an endpoint break
// during a later suspension. It counted as the probe of that one too, and lengthened it.
func TestProbeOfAnEarlierSuspensionDecidesNothing(t *testing.T) {
	for seed := range uint64(20) {
		ba := placement.NewBalancer(seed, "")
		for _, as := range placeJobs(t, ba, 2) {
			ba.Done(begin, as, placement.Failed)
		}
		later := begin.Add(firstSuspensionLimit)
		probe, ok := ba.Choose(later, engines(1), placement.Job{Work: 0.01}, nil, anyEndpoint)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, ba.AnswerStarted(probe, time.Millisecond), qt.IsTrue)
		for range 2 {
			as, ok := ba.Choose(later, engines(1), placement.Job{Work: 0.01}, nil, anyEndpoint)
			qt.Assert(t, ok, qt.IsTrue)
			ba.Done(later, as, placement.Failed)
		}
		qt.Assert(t, ba.Condition(later, "e0").Suspended, qt.IsTrue)
		ba.Done(later, probe, placement.Failed)
		cn := ba.Condition(later.Add(firstSuspensionLimit), "e0")
		qt.Assert(t, cn.Suspended, qt.IsFalse, qt.Commentf("suspended for %s", cn.SuspendedUntil.Sub(later)))
	}
}

// TestProbeEndsASuspensionAsItsAnswerBegins probes an endpoint with a stream. The endpoint got
// no other request until the stream had ended.
func TestProbeEndsASuspensionAsItsAnswerBegins(t *testing.T) {
	ba := placement.NewBalancer(1, "")
	for _, as := range placeJobs(t, ba, 2) {
		ba.Done(begin, as, placement.Failed)
	}
	later := begin.Add(firstSuspensionLimit)
	probe, ok := ba.Choose(later, engines(1), placement.Job{Work: 0.01}, nil, anyEndpoint)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, ba.Condition(later, "e0").Suspended, qt.IsTrue)
	ba.AnswerStarted(probe, 10*time.Millisecond)
	qt.Assert(t, ba.Condition(later, "e0").Suspended, qt.IsFalse)
	ba.Done(later, probe, placement.Failed)
	qt.Assert(t, ba.Condition(later, "e0").Suspended, qt.IsFalse, qt.Commentf("by one failure after the suspension"))
}

// TestSilenceSuspendsOnlyAfterLongerThanAPause has requests go unanswered within their time.
// Two of them suspended an endpoint that only paused.
func TestSilenceSuspendsOnlyAfterLongerThanAPause(t *testing.T) {
	for _, tt := range []struct {
		silence   time.Duration
		suspended bool
	}{{300 * time.Millisecond, false}, {1300 * time.Millisecond, false}, {1600 * time.Millisecond, true}} {
		ba := placement.NewBalancer(1, "")
		// An answer of long before says nothing about the silence.
		answered := placeJobs(t, ba, 1)[0]
		ba.AnswerStarted(answered, 10*time.Millisecond)
		for now := begin; now.Sub(begin) <= tt.silence; now = now.Add(100 * time.Millisecond) {
			as, ok := ba.Choose(now, engines(1), placement.Job{Work: 0.01}, nil, anyEndpoint)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s after the silence began", now.Sub(begin)))
			ba.Done(now, as, placement.Silent)
		}
		qt.Assert(t, ba.Condition(begin.Add(tt.silence), "e0").Suspended, qt.Equals, tt.suspended, qt.Commentf("%s of silence", tt.silence))
	}
}

// TestAnswerWithoutEndSuspendsUntilOneIsWhole has an endpoint's answer not end. That the next one
// begins says nothing: it may not end either. The endpoint got requests again at each such probe,
// and none any more if the probe failed after it had begun.
func TestAnswerWithoutEndSuspendsUntilOneIsWhole(t *testing.T) {
	ba := placement.NewBalancer(1, "")
	first := placeJobs(t, ba, 2)
	suspended, _ := ba.Done(begin, first[0], placement.Flooded)
	qt.Assert(t, suspended, qt.IsTrue)
	suspended, _ = ba.Done(begin, first[1], placement.Flooded)
	qt.Assert(t, suspended, qt.IsFalse)
	now := begin
	for _, re := range []placement.Result{placement.Flooded, placement.Failed, placement.Succeeded} {
		qt.Assert(t, ba.Condition(now, "e0").Suspended, qt.IsTrue)
		now = now.Add(time.Minute)
		probe, ok := ba.Choose(now, engines(1), placement.Job{Work: 0.01}, nil, anyEndpoint)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, ba.AnswerStarted(probe, time.Millisecond), qt.IsFalse)
		qt.Assert(t, ba.Condition(now, "e0").Suspended, qt.IsTrue, qt.Commentf("a second probe after one that ends with %d began", re))
		_, resumed := ba.Done(now, probe, re)
		qt.Assert(t, resumed, qt.Equals, re == placement.Succeeded)
	}
	qt.Assert(t, ba.Condition(now, "e0").Suspended, qt.IsFalse)
}
