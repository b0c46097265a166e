package store_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/store"
)

func TestRevisionsAreOrderedByEra(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		eras, numbers := rapid.Int64Range(0, 1<<19-1), rapid.Int64Range(0, 1<<44-1)
		e1, n1, e2, n2 := eras.Draw(rt, "e1"), numbers.Draw(rt, "n1"), eras.Draw(rt, "e2"), numbers.Draw(rt, "n2")
		a, err := store.NewRevision(store.Era(e1), n1)
		qt.Assert(t, err, qt.IsNil)
		b, err := store.NewRevision(store.Era(e2), n2)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.Era(), qt.Equals, store.Era(e1))
		qt.Assert(t, a.Number(), qt.Equals, n1)
		qt.Assert(t, a < b, qt.Equals, e1 < e2 || e1 == e2 && n1 < n2)
		text, err := json.Marshal(a)
		qt.Assert(t, err, qt.IsNil)
		var back store.Revision
		qt.Assert(t, json.Unmarshal(text, &back), qt.IsNil)
		qt.Assert(t, back, qt.Equals, a)
	})
}

func TestRevisionOutOfRange(t *testing.T) {
	for _, cs := range []struct {
		era    store.Era
		number int64
	}{{-1, 0}, {1 << 19, 0}, {0, -1}, {0, 1 << 44}} {
		_, err := store.NewRevision(cs.era, cs.number)
		qt.Assert(t, err, qt.IsNotNil)
	}
	var re store.Revision
	for _, text := range []string{`"x"`, `"1.x"`, `"1.2.3"`, `{}`, `"-1.2"`} {
		qt.Assert(t, json.Unmarshal([]byte(text), &re), qt.IsNotNil, qt.Commentf(text))
	}
}
