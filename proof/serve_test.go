package proof_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/testsite"
)

// TestEveryEntryServesStreamedAndUnstreamedAnswers checks the text of a chat
// completion from each entry without any failure.
func TestEveryEntryServesStreamedAndUnstreamedAnswers(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		for n := 1; n <= 3; n++ {
			for _, stream := range []bool{false, true} {
				an := si.Chat(testsite.Call{Entry: n, Tokens: 6, Stream: stream})
				qt.Assert(t, an.Err, qt.IsNil)
				qt.Assert(t, an.Status, qt.Equals, 200, qt.Commentf("%s", an.Body))
				qt.Assert(t, an.Complete, qt.IsTrue)
				qt.Assert(t, an.Text, qt.Equals, testsite.EngineText("m-1", 6))
				qt.Assert(t, an.Ran(), qt.Equals, entry.HasRun)
			}
		}
	})
}
