package proof_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/steward"
	"tanagerpoint.example/tanager/testsite"
)

// rollout gives the record of the roll-out as the store has it.
func rolloutState(t *testing.T, si *testsite.Site) (policy.Rollout, *policy.Set) {
	t.Helper()
	wr, cl := si.Writer("reader")
	defer cl.Close()
	se, _, err := wr.Load(t.Context())
	qt.Assert(t, err, qt.IsNil)
	ro, ok := se.Rollouts.ByID("r")
	qt.Assert(t, ok, qt.IsTrue)
	return ro, se
}

// rolloutEnds waits until a roll-out is in a state.
func rolloutEnds(t *testing.T, si *testsite.Site, state rpc.RolloutState) {
	t.Helper()
	si.Eventually(3*time.Minute, "roll-out is "+state.String(), func() bool {
		time.Sleep(200 * time.Millisecond)
		ro, _ := rolloutState(t, si)
		return ro.State == state
	})
}

func TestGoodVersionIsRolledOut(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Stewards: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var an answers
		var wg sync.WaitGroup
		load(ctx, si, &an, &wg, 1, 2)
		si.Apply(rolloutAt(0))
		rolloutEnds(t, si, rpc.RolloutState_DONE)
		cancel()
		wg.Wait()
		_, se := rolloutState(t, si)
		mo, _ := se.Models.ByID("m")
		qt.Assert(t, mo.StableVersion, qt.Equals, "m-2")
	})
}

func TestBadVersionIsStoppedAndWithdrawn(t *testing.T) {
	faults := map[string]func(si *testsite.Site){
		"errors": func(si *testsite.Site) {
			for _, en := range si.Engines {
				en.Set(standin.Faults{FailModel: "m-2"})
			}
		},
		"rated 0.3 below": func(si *testsite.Site) { si.Rating.SetQuality("m-2", 0.5) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 3, Stewards: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
				fault(si)
				ctx, cancel := context.WithCancel(t.Context())
				var an answers
				var wg sync.WaitGroup
				load(ctx, si, &an, &wg, 1, 2, 3)
				time.Sleep(2 * time.Second)
				si.Apply(rolloutAt(0.1))
				rolloutEnds(t, si, rpc.RolloutState_ABORTED)
				ro, se := rolloutState(t, si)
				ve, _ := se.Versions.ByID("m-2")
				qt.Assert(t, ve.Live(), qt.IsFalse)
				qt.Assert(t, ro.Reason, qt.Not(qt.Equals), "")
				qt.Assert(t, ro.Share < 0.5, qt.IsTrue)
				time.Sleep(quietLimit)
				stoppedAt := time.Now()
				time.Sleep(2 * time.Second)
				cancel()
				wg.Wait()
				qt.Assert(t, lastRun(si, "m-2").After(stoppedAt), qt.IsFalse)
			})
		})
	}
}

func TestEntriesStopABadVersionWithoutStewards(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		for _, en := range si.Engines {
			en.Set(standin.Faults{FailModel: "m-2"})
		}
		si.Store.Set(standin.Faults{})
		si.Apply(rolloutAt(0.5))
		time.Sleep(quietLimit)
		si.Store.Set(standin.Faults{Down: true})
		bad, served := 0, 0
		for i := range 200 {
			an := si.Chat(testsite.Call{Entry: 1 + i%3})
			if an.Status == 200 {
				served++
			}
			if an.Header.Get(entry.HeaderVersion) == "m-2" || an.Status == 502 {
				bad++
			}
			time.Sleep(20 * time.Millisecond)
		}
		qt.Assert(t, bad < 15, qt.IsTrue, qt.Commentf("%d answers exposed", bad))
		// The engines are not blamed for the version: the rest is served.
		qt.Assert(t, served+bad, qt.Equals, 200)
	})
}

func TestInterruptedRolloutGoesOnUnderAnotherSteward(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Stewards: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var an answers
		var wg sync.WaitGroup
		load(ctx, si, &an, &wg, 1, 2)
		si.Apply(rolloutAt(0))
		si.Eventually(time.Minute, "roll-out has moved", func() bool {
			time.Sleep(100 * time.Millisecond)
			ro, _ := rolloutState(t, si)
			return ro.Share >= 0.1
		})
		holder := holderOf(si, "rollout/r")
		qt.Assert(t, holder > 0, qt.IsTrue)
		si.KillSteward(holder)
		rolloutEnds(t, si, rpc.RolloutState_DONE)
		cancel()
		wg.Wait()
	})
}

// holderOf gives the number of the steward that holds a task, 0 for none.
func holderOf(si *testsite.Site, ta lease.Task) int {
	for n := 1; n <= len(si.Stewards)+1; n++ {
		da, ok := si.Stewards[testsite.StewardName(n)]
		if !ok {
			continue
		}
		for _, ho := range da.Dump().(steward.State).Tasks {
			if ho.Task == ta {
				return n
			}
		}
	}
	return 0
}

func TestPausedStewardChangesNothingAfterItsLease(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		si.Apply(rolloutAt(0.1))
		old := si.Client("old")
		defer old.Close()
		ma := lease.NewManager("tanager/", old, "old", 2*time.Second, event.Discard())
		ok, err := ma.Acquire(t.Context(), "rollout/r")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		ho, ok := ma.Holds("rollout/r")
		qt.Assert(t, ok, qt.IsTrue)
		// The holder checked its lease, and is paused past it.
		time.Sleep(5 * time.Second)
		_, ok = ma.Holds("rollout/r")
		qt.Assert(t, ok, qt.IsFalse)
		next := si.Client("next")
		defer next.Close()
		mb := lease.NewManager("tanager/", next, "next", 2*time.Second, event.Discard())
		ok, err = mb.Acquire(t.Context(), "rollout/r")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		newer, _ := mb.Holds("rollout/r")
		qt.Assert(t, newer.Token > ho.Token, qt.IsTrue)
		move := func(host testsite.Host, share float64, fe *configuration.Fence) error {
			wr, cl := si.Writer(host)
			defer cl.Close()
			se, _, err := wr.Load(t.Context())
			qt.Assert(t, err, qt.IsNil)
			re, base, _ := se.Record(policy.KindRollout, "r")
			re, err = re.With("spec.share", share)
			qt.Assert(t, err, qt.IsNil)
			_, err = wr.Apply(t.Context(), configuration.Request{Changes: []configuration.Change{{Record: re, Base: base}}, Fence: fe})
			return err
		}
		qt.Assert(t, move("next", 0.2, newer.Fence()), qt.IsNil)
		qt.Assert(t, errors.Is(move("old", 0.9, ho.Fence()), configuration.ErrFenced), qt.IsTrue)
		ro, _ := rolloutState(t, si)
		qt.Assert(t, ro.Share, qt.Equals, 0.2)
		ma.Close(t.Context())
		mb.Close(t.Context())
	})
}

func TestOrdersToEngines(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			engine := standin.EngineOptions{Slots: 8, Prefill: 10 * time.Millisecond, Token: 5 * time.Millisecond, ChecksFencing: checks}
			withSite(t, testsite.Options{
				Entries: 1, Stewards: 2, Engines: 3, Engine: engine,
				Records: []string{
					testsite.Record("version", "m-2", `{"model":"m","quality":0.8,"weights":"m-2-weights"}`),
					testsite.EngineRecord(1, fmt.Sprintf(`,"checks_fencing":%t`, checks)),
				},
			}, func(t *testing.T, si *testsite.Site) {
				en := si.Engines["engine-1"]
				started := time.Now()
				took := si.Eventually(30*time.Second, "version loaded", func() bool { return len(en.Orders()) > 0 })
				if !checks {
					// Not before the time to live of the lease before this one.
					qt.Assert(t, took >= time.Second, qt.IsTrue, qt.Commentf("%s", took))
				}
				qt.Assert(t, en.Orders()[0].Load, qt.IsTrue)
				_ = started
				// The holder is killed and the version withdrawn: the next
				// holder orders with a higher token.
				holder := holderOf(si, lease.Task("orders/"+string(testsite.FailureDomain(1))))
				qt.Assert(t, holder > 0, qt.IsTrue)
				si.KillSteward(holder)
				si.Apply(testsite.Record("version", "m-2", `{"model":"m","state":"WITHDRAWN","weights":"m-2-weights"}`))
				si.Eventually(time.Minute, "version unloaded", func() bool {
					ors := en.Orders()
					return !ors[len(ors)-1].Load
				})
				ors := en.Orders()
				qt.Assert(t, ors[len(ors)-1].FencingToken > ors[0].FencingToken, qt.IsTrue)
			})
		})
	}
}

// stewardLinks lists a steward's links to the store and to its peers.
func stewardLinks(n int) []link {
	me := testsite.Host(testsite.StewardName(n))
	out := []link{{me, testsite.StoreAddress}, {me, testsite.PeerAddress(1)}, {testsite.Host(testsite.EntryName(1)), testsite.StewardAddress(n)}}
	for m := 1; m <= 4; m++ {
		out = append(out, link{me, testsite.StewardAddress(m)}, link{testsite.Host(testsite.StewardName(m)), testsite.StewardAddress(n)})
	}
	return out
}

type link struct {
	from testsite.Host
	to   string
}

func cutOff(si *testsite.Site, n int) {
	for _, li := range stewardLinks(n) {
		si.Net.Cut(li.from, li.to)
	}
}

func mendAll(si *testsite.Site, n int) {
	for _, li := range stewardLinks(n) {
		si.Net.Restore(li.from, li.to)
	}
}

func TestTwoStewardsNeverHoldOneTask(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Stewards: 4, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		for round := range 6 {
			switch round % 3 {
			case 0:
				si.Store.Set(standin.Faults{LoseAnswers: 5})
			case 1:
				cutOff(si, 1+round%4)
			case 2:
				for n := 1; n <= 4; n++ {
					mendAll(si, n)
				}
			}
			for range 100 {
				time.Sleep(50 * time.Millisecond)
				held := map[lease.Task]string{}
				for name, da := range si.Stewards {
					for _, ho := range da.Dump().(steward.State).Tasks {
						if time.Now().After(ho.ExpiresAt) {
							continue
						}
						qt.Assert(t, held[ho.Task], qt.Equals, "", qt.Commentf("%s is held by %s too", ho.Task, name))
						held[ho.Task] = name
					}
				}
			}
		}
	})
}
