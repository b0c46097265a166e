package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/event"
)

func TestCatalogueIsInStep(t *testing.T) {
	text, err := os.ReadFile("../docs/EVENTS.md")
	qt.Assert(t, err, qt.IsNil)
	rows := 0
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number") {
			rows++
		}
	}
	qt.Assert(t, rows, qt.Equals, len(event.Numbers()))
	for _, nu := range event.Numbers() {
		qt.Assert(t, string(text), qt.Contains, fmt.Sprintf("| %d | %s |", nu, event.Text(nu)))
	}
}

func TestEveryEventIsLogged(t *testing.T) {
	var sb strings.Builder
	lo := event.NewLog(&sb, nil, "vm-1")
	lo.Info(event.Started, event.Fields{"callers": "127.0.0.1:1"})
	qt.Assert(t, sb.String(), qt.Contains, "event=100")
	qt.Assert(t, sb.String(), qt.Contains, "vm=vm-1")
}

// TestFloodOfRequestsIsBounded writes far more lines than the budget: failures
// keep their part beside successes, and what is left out is told.
func TestFloodOfRequestsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sb strings.Builder
		lo := event.NewLog(&sb, nil, "vm-1")
		for range 1000 {
			lo.InfoLimited(event.RequestAnswered, nil)
			lo.WarnLimited(event.RequestFailed, nil, nil)
		}
		time.Sleep(2 * time.Second)
		lo.InfoLimited(event.RequestAnswered, nil)
		text := sb.String()
		qt.Assert(t, strings.Count(text, " event=412 "), qt.Equals, 13)
		qt.Assert(t, strings.Count(text, " event=408 "), qt.Equals, 40)
		qt.Assert(t, text, qt.Contains, "left_out=988 ")
		qt.Assert(t, text, qt.Contains, "left_out=960 ")
	})
}

// blocked is a writer that takes nothing until it is opened.
type blocked struct{ open chan struct{} }

func (bl blocked) Write(line []byte) (int, error) {
	<-bl.open
	return len(line), nil
}

func TestQueueNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bl := blocked{open: make(chan struct{})}
		qu := event.NewQueue(bl)
		started := time.Now()
		for range 5000 {
			_, err := qu.Write([]byte("line\n"))
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, time.Since(started) == 0, qt.IsTrue)
		qt.Assert(t, qu.Dropped() >= 2900, qt.IsTrue)
		close(bl.open)
		qu.Close()
	})
}
