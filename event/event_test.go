package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

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
