// Package finding collects mistakes in settings and policy records, each with
// its place, so that all of them are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Place says where a finding is. Section is an INI section or a record, Key an
// INI key or a field.
type Place struct {
	File    string
	Section string
	Key     string
}

// String gives the place as file: [section] key, leaving out what is empty.
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

// Finding is one mistake.
type Finding struct {
	Place   Place
	Message string
}

// String gives the place and the message.
func (fi Finding) String() string {
	return fmt.Sprintf("%s: %s", strings.TrimSuffix(fi.Place.String(), ":"), fi.Message)
}

// List collects findings. It is an error when it is not empty.
type List []Finding

// Add appends a finding.
func (li *List) Add(pl Place, format string, args ...any) {
	*li = append(*li, Finding{Place: pl, Message: fmt.Sprintf(format, args...)})
}

// Error gives one finding a line.
func (li List) Error() string {
	lines := make([]string, len(li))
	for i, fi := range li {
		lines[i] = fi.String()
	}
	return strings.Join(lines, "\n")
}

// Err gives the list as an error, nil when it is empty.
func (li List) Err() error {
	if len(li) == 0 {
		return nil
	}
	return li
}
