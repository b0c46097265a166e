package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, for record.txt.
//
// mu guards lines.
type record struct {
	began time.Time

	mu    sync.Mutex
	lines []recordLine
}

type recordLine struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{began: time.Now()} }

// add adds a line about what happened now.
func (re *record) add(format string, args ...any) { re.addAt(time.Now(), format, args...) }

// addAt adds a line about what happened at a time.
func (re *record) addAt(at time.Time, format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.lines = append(re.lines, recordLine{at: at, text: fmt.Sprintf(format, args...)})
}

// seconds returns the time since the begin of the record, in seconds.
func (re *record) seconds(at time.Time) float64 { return at.Sub(re.began).Seconds() }

// write writes the lines to a file, in the order of their times.
func (re *record) write(file string) error {
	re.mu.Lock()
	defer re.mu.Unlock()
	slices.SortStableFunc(re.lines, func(a, b recordLine) int { return a.at.Compare(b.at) })
	var sb strings.Builder
	for _, li := range re.lines {
		_, _ = fmt.Fprintf(&sb, "%8.3f s  %s\n", re.seconds(li.at), li.text)
	}
	return os.WriteFile(file, []byte(sb.String()), 0o600)
}
