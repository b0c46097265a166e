package policy_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// TestTablesSharedWithTheSetBeforeAreThoseOfTheRecords changes records of some kinds at a time. The
// tables of the other kinds are those of the set before, and must equal tables that are built anew.
func TestTablesSharedWithTheSetBeforeAreThoseOfTheRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		se := policy.NewSet()
		for revision := range store.Revision(rapid.IntRange(1, 12).Draw(rt, "changes")) {
			var changes []policy.StoredRecord
			for range rapid.IntRange(0, 2).Draw(rt, "records") {
				changes = append(changes, drawRecord(rt).Stored(revision+1))
			}
			se = se.WithChanges(revision+1, changes)
			anew := policy.NewSet().WithSnapshot(se.Revision, se.Live())
			if got, want := summaryOf(se), summaryOf(anew); got != want {
				rt.Fatalf("got %s, want %s", got, want)
			}
		}
	})
}

// summaryOf returns what the tables and indexes of a set say of the ids a and b.
func summaryOf(se *policy.Set) string {
	out := fmt.Sprint(se.KeysRequired(), se.Organisations.Len(), se.CallerKeys.Len(), se.Routes.Len(), se.Services.Len())
	for _, en := range se.ColdEndpoints() {
		out += fmt.Sprintf("; cold %s %d", en.ID, en.ColdRemainingMs)
	}
	for _, id := range []string{"a", "b"} {
		_, organisation := se.Organisations.ByID(policy.OrganisationID(id))
		_, service := se.Services.ByID(policy.ServiceID(id))
		rt, _ := se.RouteOf("h", "/"+id+"/x")
		out += fmt.Sprintf("; %s %t %t %q", id, organisation, service, rt.ID)
		for n := range 3 {
			or, _ := se.OrganisationByKey(fmt.Sprint(id, n))
			out += fmt.Sprintf(" %q", or.ID)
		}
	}
	return out
}

// drawRecord returns a record of one of some kinds, or its tombstone.
func drawRecord(rt *rapid.T) policy.Record {
	id, n := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "id"), rapid.IntRange(0, 2).Draw(rt, "n")
	kind := rapid.SampledFrom([]policy.Kind{policy.KindOrganisation, policy.KindCallerKeys, policy.KindRoute, policy.KindService, policy.KindEndpoint}).Draw(rt, "kind")
	if rapid.Bool().Draw(rt, "deleted") {
		return made(policy.NewTombstone(kind, id))
	}
	switch kind {
	case policy.KindOrganisation:
		return made(policy.NewRecord(kind, id, &rpc.Organisation{KeyHashes: []string{policy.HashKey(fmt.Sprint(id, n))}}))
	case policy.KindCallerKeys:
		return made(policy.NewRecord(kind, id, &rpc.CallerKeys{KeyDigests: policy.DigestKeys([]string{fmt.Sprint(id, n)})}))
	case policy.KindRoute:
		return made(policy.NewRecord(kind, id, &rpc.Route{Host: "h", Prefix: "/" + id + "/"}))
	case policy.KindEndpoint:
		return made(policy.NewRecord(kind, id, &rpc.Endpoint{Url: "http://10.0.0.1:80", FailureDomain: "fd-1", ColdRemainingMs: int64(n)}))
	default:
		return made(policy.NewRecord(kind, id, &rpc.Service{}))
	}
}

// made returns a record that was made without an error.
func made(re policy.Record, err error) policy.Record {
	if err != nil {
		panic(err)
	}
	return re
}
