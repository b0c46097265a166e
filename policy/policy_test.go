package policy_test

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

func record(t testing.TB, text string) policy.Record {
	re, err := policy.ParseRecord([]byte(text))
	qt.Assert(t, err, qt.IsNil)
	return re
}

func TestExamplesHaveNoFindings(t *testing.T) {
	files, err := filepath.Glob("../examples/*/policy.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 3)
	for _, file := range files {
		frs, err := policy.ReadFiles([]string{file})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, policy.ValidateFiles(policy.NewSet(), frs), qt.HasLen, 0)
	}
}

func TestSchemaVersionsCoexist(t *testing.T) {
	se := policy.NewSet().WithRecords([]policy.Record{
		record(t, `{"schema_version":2,"kind":"model","id":"m","spec":{"stable_version":"m-1"}}`),
		record(t, `{"schema_version":1,"kind":"version","id":"m-1","spec":{"model":"m","cost_per_1k_tokens":0.004}}`),
		record(t, `{"schema_version":2,"kind":"version","id":"m-2","spec":{"model":"m","cost":{"input":1,"output":3}}}`),
		record(t, `{"schema_version":3,"kind":"version","id":"m-3","spec":{"model":"m","new_field":[1]}}`),
		record(t, `{"schema_version":3,"min_reader":3,"kind":"version","id":"m-4","spec":{"model":"m"}}`),
	})
	for _, ca := range []struct {
		id   policy.VersionID
		cost policy.MicroCredits
	}{{"m-1", 80}, {"m-2", 40}, {"m-3", 0}} {
		ve, ok := se.Versions.ByID(ca.id)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, ve.Cost(10, 10), qt.Equals, ca.cost)
		qt.Assert(t, ve.Live(), qt.IsTrue)
	}
	// A record whose min_reader is too new is absent and is listed in Findings.
	_, ok := se.Versions.ByID("m-4")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, se.Findings, qt.HasLen, 1)
	qt.Assert(t, se.Findings[0].Place.Section, qt.Equals, "version/m-4")
}

func TestEditKeepsUnknownFields(t *testing.T) {
	re := record(t, `{"schema_version":3,"kind":"version","id":"m-3","later":{"a":1},"spec":{"model":"m","new_field":[1]}}`)
	re, err := re.WithField("spec.state", "WITHDRAWN")
	qt.Assert(t, err, qt.IsNil)
	re, err = re.WithStamp(policy.Stamp{ChangedBy: "asha", OperationID: "op"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(re.JSON), qt.Contains, `"new_field":[1]`)
	qt.Assert(t, string(re.JSON), qt.Contains, `"later":{"a":1}`)
}

// TestSetIsIndependentOfChangeOrder checks that applying the same changes in any
// order, some of them more than once, gives the same set, and that ChangedAfter
// returns all changes that a set at an earlier revision lacks.
func TestSetIsIndependentOfChangeOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "changes")
		var all []policy.StoredRecord
		for i := range n {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
			deleted := rapid.SampledFrom([]string{"true", "false"}).Draw(rt, "deleted")
			text := `{"schema_version":2,"kind":"model","id":"` + id + `","deleted":` + deleted + `,"spec":{"stable_version":"v"}}`
			all = append(all, policy.StoredRecord{Key: "model/" + id, Value: []byte(text), ModRevision: store.Revision(i + 1)})
		}
		want := policy.NewSet().WithChanges(0, all)
		got := policy.NewSet()
		for range 3 {
			order := rapid.Permutation(all).Draw(rt, "order")
			cut := rapid.IntRange(0, n).Draw(rt, "cut")
			got = got.WithChanges(0, order[:cut])
		}
		got = got.WithChanges(0, rapid.Permutation(all).Draw(rt, "last"))
		if got.Revision != want.Revision || len(got.Records()) != len(want.Records()) {
			rt.Fatalf("revision %d with %d records, want %d with %d", got.Revision, len(got.Records()), want.Revision, len(want.Records()))
		}
		for i, re := range want.Records() {
			if string(re.JSON) != string(got.Records()[i].JSON) {
				rt.Fatalf("text of record %s differs", re.Key())
			}
		}
		// A peer at an earlier revision is sent ChangedAfter of that revision.
		at := store.Revision(rapid.IntRange(0, n).Draw(rt, "at"))
		behind := policy.NewSet().WithChanges(0, all[:at])
		if caughtUp := behind.WithChanges(want.Revision, want.ChangedAfter(behind.Revision)); len(caughtUp.Records()) != len(want.Records()) {
			rt.Fatalf("a set at an earlier revision lacks records after applying the result of ChangedAfter")
		}
	})
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"schema_version":1,"kind":"version","id":"m-1","spec":{"model":"m","cost_per_1k_tokens":1}}`))
	f.Add([]byte(`{"schema_version":2,"kind":"rollout","id":"r","spec":{"steps":[0.5,1],"state":"PAUSED"}}`))
	f.Add([]byte(`{"schema_version":2,"kind":"endpoint","id":"e","spec":{"url":"http://[::1"}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		re, err := policy.ParseRecord(text)
		if err != nil {
			return
		}
		se := policy.NewSet().WithRecords([]policy.Record{re})
		_ = policy.ValidateFiles(se, []policy.FileRecord{{Record: re, File: "f"}})
	})
}
