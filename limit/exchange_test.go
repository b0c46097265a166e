package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
)

// TestPeersWordOfAnEarlierRunDoesNotMakeAnEndpointCold has a router hear that an endpoint is cold, and
// another one read its word: of the run that is in force there, and of the one before it.
func TestPeersWordOfAnEarlierRunDoesNotMakeAnEndpointCold(t *testing.T) {
	for _, run := range []int64{1, 2} {
		start := time.Now()
		heard := configuration.NewHolder(event.Discard())
		replaceRecords(t, heard, 10, coldEndpoint(0, 1))
		teller := loneGroup("vm-1", heard)
		told := limit.New(start.Add(-time.Minute), teller, heard, event.Discard())
		en, _ := heard.Set().Endpoints.ByID("e")
		told.Cold(start, en.Run(), start.Add(time.Minute))
		told.Publish(start)

		ho := configuration.NewHolder(event.Discard())
		replaceRecords(t, ho, 10, coldEndpoint(0, run))
		listener := loneGroup("vm-0", ho)
		for _, it := range teller.Table().List("limit/") {
			listener.Table().Put(it.Key, it.Version, it.Value, it.WrittenAt)
		}
		li := limit.New(start.Add(-time.Minute), listener, ho, event.Discard())
		li.Refresh(start.Add(10 * time.Millisecond))
		taken := takenIn(li, start.Add(10*time.Millisecond))
		qt.Check(t, taken < 20, qt.Equals, run == 1, qt.Commentf("run %d: %d taken", run, taken))
	}
}
