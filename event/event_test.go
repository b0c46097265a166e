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

func TestCatalogueMatchesEvents(t *testing.T) {
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

func TestLinesNameEventAndVM(t *testing.T) {
	var sb strings.Builder
	lo := event.NewLog(&sb, nil, "vm-1")
	lo.Info(event.Started, event.Fields{"callers": "127.0.0.1:1"})
	qt.Assert(t, sb.String(), qt.Contains, "event=100")
	qt.Assert(t, sb.String(), qt.Contains, "vm=vm-1")
}

// TestRequestLinesAreRateLimited writes far more lines than the limits allow. The
// lines of successful requests must not use up the limit of failed ones, and the
// numbers of suppressed lines must be logged. The limits are 12 and 40 lines a second,
// and one more line is written after the first window.
func TestRequestLinesAreRateLimited(t *testing.T) {
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

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct{ open chan struct{} }

func (bw blockedWriter) Write(line []byte) (int, error) {
	<-bw.open
	return len(line), nil
}

// TestQueueNeverBlocks writes more lines than the queue holds, 2048, while the writer
// below it is blocked.
func TestQueueNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bw := blockedWriter{open: make(chan struct{})}
		qu := event.NewQueue(bw)
		started := time.Now()
		for range 5000 {
			_, err := qu.Write([]byte("line\n"))
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, time.Since(started) == 0, qt.IsTrue)
		qt.Assert(t, qu.Dropped() >= 2900, qt.IsTrue)
		close(bw.open)
		qu.Close()
	})
}
