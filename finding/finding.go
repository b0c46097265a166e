// Package finding collects the mistakes found in settings and policy records, each
// with its place, so that they can be reported all at once.
package finding

import (
	"fmt"
	"strings"
)

// Place is where a mistake was found. Each field may be empty.
type Place struct {
	File string
	// Section is an INI section or the key of a policy record.
	Section string
	// Key is an INI key or the path of a field in the record.
	Key string
}

// String returns the place in the form "file: [section] key", without the parts
// that are empty.
func (pl Place) String() string {
	var parts []string
	if pl.File != "" {
		parts = append(parts, pl.File+":")
	}
	if pl.Section != "" {
		parts = append(parts, "["+pl.Section+"]")
	}
	if pl.Key != "" {
		parts = append(parts, pl.Key)
	}
	return strings.Join(parts, " ")
}

// Finding is one mistake and its place.
type Finding struct {
	Place   Place
	Message string
}

// String returns the place and the message in the form "place: message". A place
// that is only a file already ends in a colon.
func (fi Finding) String() string {
	return fmt.Sprintf("%s: %s", strings.TrimSuffix(fi.Place.String(), ":"), fi.Message)
}

// List is a list of findings. It implements error, but an empty List as an error is
// not nil: functions return Err() instead.
type List []Finding

// Add appends a finding, with a message formatted as by fmt.Sprintf.
func (li *List) Add(pl Place, format string, args ...any) {
	*li = append(*li, Finding{Place: pl, Message: fmt.Sprintf(format, args...)})
}

// Error returns the findings, one per line.
func (li List) Error() string {
	lines := make([]string, len(li))
	for i, fi := range li {
		lines[i] = fi.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (li List) Err() error {
	if len(li) == 0 {
		return nil
	}
	return li
}
