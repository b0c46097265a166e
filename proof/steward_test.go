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

// rolloutState returns roll-out "r" and the whole policy as the store has them.
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

// waitForRollout blocks until roll-out "r" is in a state, and fails the test after
// three minutes.
func waitForRollout(t *testing.T, si *testsite.Site, state rpc.RolloutState) {
	t.Helper()
	si.Eventually(3*time.Minute, "roll-out is "+state.String(), func() bool {
		time.Sleep(200 * time.Millisecond)
		ro, _ := rolloutState(t, si)
		return ro.State == state
	})
}

// TestGoodVersionIsRolledOut runs a roll-out under load until the new version is the
// stable one.
func TestGoodVersionIsRolledOut(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Stewards: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var br billRecorder
		var wg sync.WaitGroup
		generateLoad(ctx, si, &br, &wg, 1, 2)
		si.Apply(runningRollout(0))
		waitForRollout(t, si, rpc.RolloutState_DONE)
		cancel()
		wg.Wait()
		_, se := rolloutState(t, si)
		mo, _ := se.Models.ByID("m")
		qt.Assert(t, mo.StableVersion, qt.Equals, "m-2")
	})
}

// TestBadVersionIsStoppedAndWithdrawn rolls out a version that fails, or whose rated
// quality is too low. The roll-out must be aborted before half of the requests go to
// the version. The version must receive no request once the abort has had
// healthyPropagationLimit to reach the entries.
func TestBadVersionIsStoppedAndWithdrawn(t *testing.T) {
	faults := map[string]func(si *testsite.Site){
		"errors": func(si *testsite.Site) {
			for _, en := range si.Engines {
				en.SetFaults(standin.Faults{FailModel: "m-2"})
			}
		},
		"rated quality 0.3 lower": func(si *testsite.Site) { si.Rating.SetQuality("m-2", 0.5) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 3, Stewards: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
				fault(si)
				ctx, cancel := context.WithCancel(t.Context())
				var br billRecorder
				var wg sync.WaitGroup
				generateLoad(ctx, si, &br, &wg, 1, 2, 3)
				time.Sleep(2 * time.Second)
				si.Apply(runningRollout(0.1))
				waitForRollout(t, si, rpc.RolloutState_ABORTED)
				ro, se := rolloutState(t, si)
				ve, _ := se.Versions.ByID("m-2")
				qt.Assert(t, ve.Live(), qt.IsFalse)
				qt.Assert(t, ro.Reason, qt.Not(qt.Equals), "")
				qt.Assert(t, ro.Share < 0.5, qt.IsTrue)
				time.Sleep(healthyPropagationLimit)
				stoppedAt := time.Now()
				time.Sleep(2 * time.Second)
				cancel()
				wg.Wait()
				qt.Assert(t, lastReceived(si, "m-2").After(stoppedAt), qt.IsFalse)
			})
		})
	}
}

// TestEntriesStopABadVersionWithoutStewards rolls out a failing version without
// stewards and with the store down. Entries must stop using it by themselves.
func TestEntriesStopABadVersionWithoutStewards(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		for _, en := range si.Engines {
			en.SetFaults(standin.Faults{FailModel: "m-2"})
		}
		si.Store.SetFaults(standin.Faults{})
		si.Apply(runningRollout(0.5))
		time.Sleep(healthyPropagationLimit)
		si.Store.SetFaults(standin.Faults{Down: true})
		exposed, served := 0, 0
		for i := range 200 {
			an := si.Chat(testsite.Call{Entry: 1 + i%3})
			if an.Status == 200 {
				served++
			}
			if an.Header.Get(entry.HeaderVersion) == "m-2" || an.Status == 502 {
				exposed++
			}
			time.Sleep(20 * time.Millisecond)
		}
		qt.Assert(t, exposed < 15, qt.IsTrue, qt.Commentf("%d of 200 requests were exposed to the bad version", exposed))
		// The version's failures do not count against the engines, which serve all
		// other requests.
		qt.Assert(t, served+exposed, qt.Equals, 200)
	})
}

// TestAnotherStewardContinuesInterruptedRollout kills the steward that runs a
// roll-out. The other steward must complete it.
func TestAnotherStewardContinuesInterruptedRollout(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Stewards: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var br billRecorder
		var wg sync.WaitGroup
		generateLoad(ctx, si, &br, &wg, 1, 2)
		si.Apply(runningRollout(0))
		si.Eventually(time.Minute, "roll-out has reached a share of 0.1", func() bool {
			time.Sleep(100 * time.Millisecond)
			ro, _ := rolloutState(t, si)
			return ro.Share >= 0.1
		})
		holder := taskHolder(si, "rollout/r")
		qt.Assert(t, holder > 0, qt.IsTrue)
		si.KillSteward(holder)
		waitForRollout(t, si, rpc.RolloutState_DONE)
		cancel()
		wg.Wait()
	})
}

// taskHolder returns the number of the steward that holds a task, or 0 if none does.
func taskHolder(si *testsite.Site, ta lease.Task) int {
	// The numbers go one past the stewards that run, as one may have been killed.
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

// TestPausedStewardIsFencedAfterLeaseExpiry lets the first holder of a task apply a
// change after its lease has expired and a second holder has acquired the task. The
// change must be rejected because its fencing token is no longer that of the task's key
// in the store.
func TestPausedStewardIsFencedAfterLeaseExpiry(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		si.Apply(runningRollout(0.1))
		old := si.Client("old")
		defer old.Close()
		ma := lease.NewManager("tanager/", old, "old", 2*time.Second, event.Discard())
		ok, err := ma.Acquire(t.Context(), "rollout/r")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		ho, ok := ma.Holds("rollout/r")
		qt.Assert(t, ok, qt.IsTrue)
		// The first holder is paused, with ho from its last check, until its lease has
		// expired.
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
		setShare := func(host testsite.Host, share float64, fe *configuration.Fence) error {
			wr, cl := si.Writer(host)
			defer cl.Close()
			se, _, err := wr.Load(t.Context())
			qt.Assert(t, err, qt.IsNil)
			re, base, _ := se.Record(policy.KindRollout, "r")
			re, err = re.WithField("spec.share", share)
			qt.Assert(t, err, qt.IsNil)
			_, err = wr.Apply(t.Context(), configuration.Request{Changes: []configuration.Change{{Record: re, Base: base}}, Fence: fe})
			return err
		}
		qt.Assert(t, setShare("next", 0.2, newer.Fence()), qt.IsNil)
		qt.Assert(t, errors.Is(setShare("old", 0.9, ho.Fence()), configuration.ErrFenced), qt.IsTrue)
		ro, _ := rolloutState(t, si)
		qt.Assert(t, ro.Share, qt.Equals, 0.2)
		ma.Close(t.Context())
		mb.Close(t.Context())
	})
}

// TestEngineOrdersCarryIncreasingFencingTokens checks the orders that stewards send to
// an engine to load and unload a version, with engines that check fencing tokens and
// with engines that do not.
func TestEngineOrdersCarryIncreasingFencingTokens(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			engine := standin.EngineOptions{Slots: 8, Prefill: 10 * time.Millisecond, TokenInterval: 5 * time.Millisecond, ChecksFencing: checks}
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
					// An engine that does not check fencing tokens gets no order until
					// the lease of a previous holder must have expired.
					qt.Assert(t, took >= time.Second, qt.IsTrue, qt.Commentf("%s", took))
				}
				qt.Assert(t, en.Orders()[0].Load, qt.IsTrue)
				_ = started
				// The holder is killed and the version withdrawn. The next holder
				// must order the unloading with a higher token.
				holder := taskHolder(si, lease.Task("orders/"+string(testsite.FailureDomain(1))))
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

// stewardLinks returns the links from a steward to the store, and those between it and
// entry-1 and all stewards in both directions.
func stewardLinks(n int) []link {
	steward := testsite.Host(testsite.StewardName(n))
	links := []link{{steward, testsite.StoreAddress}, {steward, testsite.PeerAddress(1)}, {testsite.Host(testsite.EntryName(1)), testsite.StewardAddress(n)}}
	for m := 1; m <= 4; m++ {
		links = append(links, link{steward, testsite.StewardAddress(m)}, link{testsite.Host(testsite.StewardName(m)), testsite.StewardAddress(n)})
	}
	return links
}

// link stands for the connections that a host opens to an address.
type link struct {
	from testsite.Host
	to   string
}

// disconnectSteward cuts a steward's links to the store, entry-1 and the stewards.
func disconnectSteward(si *testsite.Site, n int) {
	for _, li := range stewardLinks(n) {
		si.Net.Cut(li.from, li.to)
	}
}

// reconnectSteward restores the links that disconnectSteward cuts.
func reconnectSteward(si *testsite.Site, n int) {
	for _, li := range stewardLinks(n) {
		si.Net.Restore(li.from, li.to)
	}
}

// TestTwoStewardsNeverHoldOneTask samples the held tasks of four stewards while the
// store loses responses and stewards are disconnected and reconnected.
func TestTwoStewardsNeverHoldOneTask(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Stewards: 4, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		for round := range 6 {
			switch round % 3 {
			case 0:
				si.Store.SetFaults(standin.Faults{LoseAnswers: 5})
			case 1:
				disconnectSteward(si, 1+round%4)
			case 2:
				for n := 1; n <= 4; n++ {
					reconnectSteward(si, n)
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
						qt.Assert(t, held[ho.Task], qt.Equals, "", qt.Commentf("task %s is held by %s as well", ho.Task, name))
						held[ho.Task] = name
					}
				}
			}
		}
	})
}

// TestVersionThatFailsSomeAnswersIsNotRolledOutOnFewAnswers guards against a bad version that
// becomes the version in use because a step takes few answers, which do not show that it is bad.
func TestVersionThatFailsSomeAnswersIsNotRolledOutOnFewAnswers(t *testing.T) {
	for n := range 5 {
		t.Run(fmt.Sprint("roll-out ", n), checkFailingVersionIsNotRolledOut)
	}
}

// checkFailingVersionIsNotRolledOut rolls out a version of which a part of the answers fail, under a
// load of ten requests a second.
func checkFailingVersionIsNotRolledOut(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Stewards: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		for _, en := range si.Engines {
			en.SetFaults(standin.Faults{FailModel: "m-2", FailShare: 0.15})
		}
		si.Apply(testsite.Record("rollout", "r",
			`{"model":"m","from_version":"m-1","to_version":"m-2","share":0.1,"state":"RUNNING","steps":[0.1,0.5,1],"answers_per_step":5}`))
		ro, _ := rolloutState(t, si)
		for n := 0; ro.Active() && n < 3000; n++ {
			si.Chat(testsite.Call{Entry: 1 + n%3, Prompt: fmt.Sprint("sheet ", n)})
			time.Sleep(100 * time.Millisecond)
			ro, _ = rolloutState(t, si)
		}
		qt.Assert(t, ro.State, qt.Equals, rpc.RolloutState_ABORTED)
	})
}
