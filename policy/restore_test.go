package policy_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// at returns a revision.
func at(t testing.TB, era store.Era, number int64) store.Revision {
	re, err := store.NewRevision(era, number)
	qt.Assert(t, err, qt.IsNil)
	return re
}

// written returns a stored record with its writer's own count; spec is nil for a tombstone.
func written(t testing.TB, ki policy.Kind, id string, spec proto.Message, sequence int64, revision store.Revision) policy.StoredRecord {
	re, err := policy.NewTombstone(ki, id)
	if spec != nil {
		re, err = policy.NewRecord(ki, id, spec)
	}
	qt.Assert(t, err, qt.IsNil)
	re, err = re.WithSequence(sequence)
	qt.Assert(t, err, qt.IsNil)
	return policy.StoredRecord{Key: re.Key(), Value: re.JSON, ModRevision: revision}
}

// document returns the records of a configuration with routes of these ids.
func document(t testing.TB, version int64, revision store.Revision, routes ...string) []policy.StoredRecord {
	out := []policy.StoredRecord{written(t, policy.KindLimits, string(policy.LimitsSite), &rpc.Limits{}, version, revision)}
	for _, id := range routes {
		out = append(out, written(t, policy.KindRoute, id, &rpc.Route{Host: "h", Prefix: "/" + id + "/"}, 0, revision))
	}
	return out
}

func replica(startedAtMS int64, draining bool) *rpc.Endpoint {
	return &rpc.Endpoint{Kind: rpc.EndpointKind_PLAIN, Url: "http://10.0.0.1:80", Service: "desk", StartedAtMs: startedAtMS, Draining: draining}
}

// TestConfigurationIsRetainedAsAWhole restores the store from a copy with another version of
// the configuration: the later version stays in force, with all it has and all it lacks.
func TestConfigurationIsRetainedAsAWhole(t *testing.T) {
	known := policy.NewSet().WithSnapshot(at(t, 1, 20), document(t, 12, at(t, 1, 20), "kept", "added"))
	for _, cs := range []struct {
		version int64
		want    []string
	}{{0, []string{"added", "kept"}}, {11, []string{"added", "kept"}}, {12, []string{"kept", "removed"}}, {13, []string{"kept", "removed"}}} {
		read := document(t, cs.version, at(t, 2, 15), "kept", "removed")
		if cs.version == 0 {
			read = nil
		}
		next := known.WithSnapshot(at(t, 2, 15), read)
		qt.Assert(t, next.IDs(policy.KindRoute), qt.DeepEquals, cs.want, qt.Commentf("version %d", cs.version))
		qt.Assert(t, next.Retained != 0, qt.Equals, cs.version < 12)
		qt.Assert(t, next.ConfigurationVersion(), qt.Equals, max(12, cs.version))
		// A complete read later in the era takes nothing away, until the version has come.
		again := next.WithSnapshot(at(t, 2, 16), read)
		qt.Assert(t, again.IDs(policy.KindRoute), qt.DeepEquals, cs.want)
		final := next.WithSnapshot(at(t, 2, 17), document(t, 14, at(t, 2, 17), "last"))
		qt.Assert(t, final.IDs(policy.KindRoute), qt.DeepEquals, []string{"last"})
		qt.Assert(t, final.Retained, qt.Equals, policy.RetainedDigest(0))
	}
}

// TestRegistrationIsRetainedUntilALaterOne restores the store from a copy with an earlier or a
// later registration of a replica that is known in some state.
func TestRegistrationIsRetainedUntilALaterOne(t *testing.T) {
	const none, ready, drains = "none", "ready", "drains"
	for _, cs := range []struct {
		name                    string
		known                   string
		knownStart, knownWrites int64
		read                    string
		readStart, readWrites   int64
		want                    string
	}{
		{"drained since the copy", drains, 1, 5, ready, 1, 4, drains},
		{"same registration", drains, 1, 5, drains, 1, 5, drains},
		{"written again", ready, 1, 5, ready, 1, 6, ready},
		{"drains since the restore", ready, 1, 5, drains, 1, 6, drains},
		{"started anew since the restore", drains, 1, 5, ready, 2, 1, ready},
		{"started anew since the copy", ready, 2, 1, drains, 1, 9, ready},
		{"left since the copy", none, 1, 5, ready, 1, 5, none},
		{"left, and the copy is older", none, 1, 5, ready, 1, 3, none},
		{"back after it left", none, 1, 5, ready, 1, 6, ready},
		{"started anew after it left", none, 1, 5, ready, 2, 1, ready},
		{"not in the copy", ready, 1, 5, none, 0, 0, none},
	} {
		t.Run(cs.name, func(t *testing.T) {
			known := policy.NewSet().WithSnapshot(at(t, 1, 10), []policy.StoredRecord{
				written(t, policy.KindEndpoint, "e", replica(cs.knownStart, cs.known == drains), cs.knownWrites, at(t, 1, 10)),
			})
			if cs.known == none {
				known = known.WithChanges(at(t, 1, 11), []policy.StoredRecord{written(t, policy.KindEndpoint, "e", nil, 0, at(t, 1, 11))})
			}
			var read []policy.StoredRecord
			if cs.read != none {
				read = append(read, written(t, policy.KindEndpoint, "e", replica(cs.readStart, cs.read == drains), cs.readWrites, at(t, 2, 8)))
			}
			next := known.WithSnapshot(at(t, 2, 8), read)
			got := none
			if en, ok := next.Endpoints.ByID("e"); ok {
				got = ready
				if en.Draining {
					got = drains
				}
			}
			qt.Assert(t, got, qt.Equals, cs.want)
		})
	}
}

// TestRemovalIsRememberedOverACompleteRead removes a replica, reads everything anew in mid-era,
// as after lost history, and restores the store from a copy that has the replica.
func TestRemovalIsRememberedOverACompleteRead(t *testing.T) {
	registered := func(writes int64, revision store.Revision) []policy.StoredRecord {
		return []policy.StoredRecord{written(t, policy.KindEndpoint, "e", replica(1, false), writes, revision)}
	}
	for _, seen := range []bool{true, false} {
		se := policy.NewSet().WithSnapshot(at(t, 1, 10), registered(5, at(t, 1, 10)))
		if seen {
			se = se.WithChanges(at(t, 1, 11), []policy.StoredRecord{written(t, policy.KindEndpoint, "e", nil, 0, at(t, 1, 11))})
		}
		se = se.WithSnapshot(at(t, 1, 20), nil)
		_, ok := se.WithSnapshot(at(t, 2, 10), registered(5, at(t, 2, 10))).Endpoints.ByID("e")
		qt.Assert(t, ok, qt.IsFalse, qt.Commentf("removal seen: %v", seen))
		_, ok = se.WithSnapshot(at(t, 1, 21), registered(6, at(t, 1, 21))).Endpoints.ByID("e")
		qt.Assert(t, ok, qt.IsTrue)
	}
}

// TestQuarantineIsRetained restores the store from a copy without a quarantine, or with one
// that has ended since.
func TestQuarantineIsRetained(t *testing.T) {
	spec := &rpc.Quarantine{Part: "p", UntilMs: 1}
	set := written(t, policy.KindQuarantine, "q", spec, 0, at(t, 1, 10))
	known := policy.NewSet().WithSnapshot(at(t, 1, 10), []policy.StoredRecord{set})
	_, ok := known.WithSnapshot(at(t, 2, 5), nil).Quarantines.ByID("q")
	qt.Assert(t, ok, qt.IsTrue)
	ended := known.WithChanges(at(t, 1, 12), []policy.StoredRecord{written(t, policy.KindQuarantine, "q", nil, 0, at(t, 1, 12))})
	_, ok = ended.WithSnapshot(at(t, 2, 11), []policy.StoredRecord{written(t, policy.KindQuarantine, "q", spec, 0, at(t, 2, 10))}).Quarantines.ByID("q")
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = ended.WithSnapshot(at(t, 2, 20), []policy.StoredRecord{written(t, policy.KindQuarantine, "q", spec, 0, at(t, 2, 15))}).Quarantines.ByID("q")
	qt.Assert(t, ok, qt.IsTrue)
}

// TestRolloutIsRetainedWhileMoreIsKnownOfIt restores the store from copies that lack a part
// of what was decided about a roll-out.
func TestRolloutIsRetainedWhileMoreIsKnownOfIt(t *testing.T) {
	steps := []*rpc.Rollout{
		{Service: "desk", ToVersion: "v2", DurationMs: 9},
		{Service: "desk", ToVersion: "v2", DurationMs: 9, StartedAtMs: 1},
		{Service: "desk", ToVersion: "v2", DurationMs: 9, StartedAtMs: 1, PromotedAtMs: 2},
		{Service: "desk", ToVersion: "v2", DurationMs: 9, StartedAtMs: 1, PromotedAtMs: 2, State: rpc.RolloutState_DONE},
	}
	for k, known := range steps {
		se := policy.NewSet().WithSnapshot(at(t, 1, 20), []policy.StoredRecord{written(t, policy.KindRollout, "desk", known, 0, at(t, 1, 20))})
		qt.Assert(t, se.WithSnapshot(at(t, 2, 9), nil).Retains(policy.KindRollout, "desk"), qt.IsTrue)
		for r, read := range steps {
			next := se.WithSnapshot(at(t, 2, 9), []policy.StoredRecord{written(t, policy.KindRollout, "desk", read, 0, at(t, 2, 9))})
			qt.Assert(t, next.Retains(policy.KindRollout, "desk"), qt.Equals, k > r, qt.Commentf("known %d, read %d", k, r))
		}
		for number, want := range map[int64]string{9: "v2", 25: "v3"} {
			other := written(t, policy.KindRollout, "desk", &rpc.Rollout{Service: "desk", ToVersion: "v3", DurationMs: 9}, 0, at(t, 2, number))
			ro, ok := se.WithSnapshot(at(t, 2, 30), []policy.StoredRecord{other}).ServiceRollout("desk")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, ro.ToVersion, qt.Equals, want, qt.Commentf("an order of revision %d", number))
		}
	}
}

// TestRoutersAgreeAfterARestore has two routers know different parts of what the store has
// lost. Whatever they are, they agree once each has what the other retains.
func TestRoutersAgreeAfterARestore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		known := func(name string) *policy.Set {
			version := rapid.Int64Range(1, 4).Draw(rt, name+" version")
			records := document(t, version, at(t, 1, 10+version), fmt.Sprint("r", version))
			for n := range 3 {
				writes := rapid.Int64Range(1, 3).Draw(rt, fmt.Sprint(name, " writes of ", n))
				records = append(records, written(t, policy.KindEndpoint, fmt.Sprint("e", n), replica(1, writes > 1), writes, at(t, 1, 10+writes)))
			}
			if rapid.Bool().Draw(rt, name+" quarantine") {
				records = append(records, written(t, policy.KindQuarantine, "q", &rpc.Quarantine{Part: "p", UntilMs: 1}, 0, at(t, 1, 15)))
			}
			started := rapid.Int64Range(0, 1).Draw(rt, name+" started")
			records = append(records, written(t, policy.KindRollout, "desk", &rpc.Rollout{Service: "desk", ToVersion: "v2", StartedAtMs: started}, 0, at(t, 1, 16+started)))
			return policy.NewSet().WithSnapshot(at(t, 1, 30), records)
		}
		a, b := known("a"), known("b")
		best := max(a.ConfigurationVersion(), b.ConfigurationVersion())
		copied := document(t, 1, at(t, 2, 9), "r1")
		for n := range 3 {
			copied = append(copied, written(t, policy.KindEndpoint, fmt.Sprint("e", n), replica(1, false), 1, at(t, 2, 9)))
		}
		a, b = a.WithSnapshot(at(t, 2, 9), copied), b.WithSnapshot(at(t, 2, 9), copied)
		check := func(ok bool, what string) {
			if !ok {
				rt.Fatal(what)
			}
		}
		check(a.WithRetained(a.RetainedRecords()) == a, "a set lacks what it retains itself")
		a = a.WithRetained(b.RetainedRecords())
		b = b.WithRetained(a.RetainedRecords())
		check(a.Retained == b.Retained, "the routers retain different records")
		check(a.ConfigurationVersion() == best, "the latest version is lost")
		for _, se := range []*policy.Set{a, b} {
			check(slices.Equal(se.IDs(policy.KindRoute), []string{fmt.Sprint("r", best)}), "routes of another version")
		}
	})
}
