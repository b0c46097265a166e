package admission_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/policy"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ranks() []admission.Rank {
	return []admission.Rank{{ID: "urgent", Order: 0, Floor: 0.2}, {ID: "bulk", Order: 1, Floor: 0.2, Headroom: 0.2}}
}

// TestQueueKeepsItsCounts offers, starts, ends and cancels requests at random.
// It fails when a request is lost, started twice or started after its latest
// start, when Load differs from the actual counts, when more than four requests
// run with three slots, or when a refusal has no later time for a retry.
func TestQueueKeepsItsCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := start
		qu := admission.NewQueue(now, 8, 0.3)
		qu.SetRanks(ranks())
		qu.SetCapacity(now, 3)
		state := map[*admission.Ticket]string{}
		note := func(started []*admission.Ticket, refused []*admission.Refusal) {
			for _, ti := range started {
				if state[ti] != "waiting" {
					rt.Fatalf("started a ticket that was %q", state[ti])
				}
				if now.After(ti.LatestStart) {
					rt.Fatalf("started after the latest start")
				}
				state[ti] = "running"
			}
			for _, re := range refused {
				if state[re.Ticket] != "waiting" {
					rt.Fatalf("refused a ticket that was %q", state[re.Ticket])
				}
				if !re.RetryAt.After(now) {
					rt.Fatalf("retry time of a refusal is not in the future")
				}
				state[re.Ticket] = "refused"
			}
		}
		pick := func(want string) *admission.Ticket {
			for ti, st := range state {
				if st == want {
					return ti
				}
			}
			return nil
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1, 2:
				ti := &admission.Ticket{
					Organisation: policy.OrganisationID(fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "org"))), Share: 1,
					Rank: rapid.SampledFrom([]policy.RankID{"urgent", "bulk"}).Draw(rt, "rank"), Cost: 10,
					LatestStart: now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "latest")) * time.Millisecond),
				}
				state[ti] = "waiting"
				note(nil, qu.Offer(now, ti))
			case 3:
				if ti := pick("running"); ti != nil {
					state[ti] = "ended"
					qu.Done(now, ti, 12)
				}
			case 4:
				if ti := pick("waiting"); ti != nil && qu.Cancel(now, ti) {
					state[ti] = "cancelled"
				}
			case 5:
				note(nil, qu.Expire(now))
			}
			note(qu.Dispatch(now))
			counts := map[string]int{}
			for _, st := range state {
				counts[st]++
			}
			running, waiting := qu.Load()
			if running != counts["running"] || waiting != counts["waiting"] {
				rt.Fatalf("queue counts %d running and %d waiting requests, want %d and %d", running, waiting, counts["running"], counts["waiting"])
			}
			if running > 4 {
				rt.Fatalf("%d requests run with three slots, want at most 4", running)
			}
		}
	})
}

func TestFullQueueMakesRoomForTheSmallOrganisation(t *testing.T) {
	qu := admission.NewQueue(start, 10, 0)
	qu.SetRanks(ranks())
	qu.SetCapacity(start, 1)
	offer := func(org policy.OrganisationID) []*admission.Refusal {
		return qu.Offer(start, &admission.Ticket{Organisation: org, Share: 1, Rank: "bulk", Cost: 10, LatestStart: start.Add(time.Hour)})
	}
	for range 10 {
		qt.Assert(t, offer("large"), qt.HasLen, 0)
	}
	res := offer("small")
	qt.Assert(t, res, qt.HasLen, 1)
	qt.Assert(t, res[0].Ticket.Organisation, qt.Equals, policy.OrganisationID("large"))
	qt.Assert(t, res[0].Reason, qt.Equals, admission.ReasonQueueFull)
	res = offer("large")
	qt.Assert(t, res[0].Ticket.Organisation, qt.Equals, policy.OrganisationID("large"))
}

func TestRefusalsComeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		co := admission.NewController(10)
		acquire := func(rank policy.RankID, latest time.Duration) error {
			started := time.Now()
			err := co.Acquire(t.Context(), &admission.Ticket{Organisation: "o", Share: 1, Rank: rank, Cost: 10, LatestStart: started.Add(latest)})
			qt.Check(t, time.Since(started) == 0, qt.IsTrue, qt.Commentf("blocked for %s", time.Since(started)))
			return err
		}
		reason := func(err error) admission.Reason {
			var re *admission.Refusal
			qt.Assert(t, errors.As(err, &re), qt.IsTrue)
			qt.Assert(t, re.RetryAt.After(time.Now()), qt.IsTrue)
			return re.Reason
		}
		qt.Assert(t, reason(acquire("urgent", time.Minute)), qt.Equals, admission.ReasonUnknownRank)
		co.Update(func(qu *admission.Queue, _ time.Time) { qu.SetRanks(ranks()) })
		qt.Assert(t, reason(acquire("urgent", time.Minute)), qt.Equals, admission.ReasonNoCapacity)
		co.Update(func(qu *admission.Queue, now time.Time) { qu.SetCapacity(now, 1) })
		qt.Assert(t, acquire("urgent", time.Minute), qt.IsNil)
		qt.Assert(t, reason(acquire("urgent", -time.Second)), qt.Equals, admission.ReasonDeadlineUnreachable)
	})
}

func TestCallerThatLeavesTheQueueTakesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		co := admission.NewController(10)
		co.Update(func(qu *admission.Queue, now time.Time) {
			qu.SetRanks(ranks())
			qu.SetCapacity(now, 1)
		})
		ticket := func() *admission.Ticket {
			return &admission.Ticket{Organisation: "o", Share: 1, Rank: "urgent", Cost: 1, LatestStart: time.Now().Add(time.Hour)}
		}
		first := ticket()
		qt.Assert(t, co.Acquire(t.Context(), first), qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, co.Acquire(ctx, ticket()), qt.IsNotNil)
		co.Release(first, 1)
		qt.Assert(t, co.Acquire(t.Context(), ticket()), qt.IsNil)
	})
}

// BenchmarkDecision measures offering, starting and ending one request while
// many organisations have waiting requests.
func BenchmarkDecision(b *testing.B) {
	for _, orgs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("organisations-%d", orgs), func(b *testing.B) {
			qu := admission.NewQueue(start, 1<<20, 0)
			qu.SetRanks(ranks())
			qu.SetCapacity(start, 4)
			for i := range orgs {
				for range 4 {
					qu.Offer(start, &admission.Ticket{Organisation: policy.OrganisationID(fmt.Sprint(i)), Share: 1, Rank: "bulk", Cost: 10, LatestStart: start.Add(1 << 50)})
				}
			}
			started, _ := qu.Dispatch(start)
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				qu.Done(now, started[0], 10)
				qu.Offer(now, &admission.Ticket{Organisation: started[0].Organisation, Share: 1, Rank: "bulk", Cost: 10, LatestStart: now.Add(1 << 50)})
				for {
					if next, _ := qu.Dispatch(now); len(next) > 0 {
						started = next
						break
					}
					now = now.Add(time.Second)
				}
			}
		})
	}
}
