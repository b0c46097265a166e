package measure

import (
	"fmt"
	"strings"
)

// Row is one measure's result.
type Row struct {
	Measure   string
	Baselines string
	Figure    string
	Target    string
	Met       bool
}

// All runs every measure but Placement from a seed.
func All(seed uint64) []Row {
	var out []Row
	for _, st := range []site{bagmati, savannah} {
		out = append(out, measureFlood(st, seed), measureFloors(st, seed), measureUseful(st, seed), measureFairness(st, seed), measureCombined(st, seed))
	}
	out = append(out, measureCascade(seed), measureDrift(seed), measureDisappearance(seed), measureSilence(seed))
	out = append(out, measureExposure(seed)...)
	return append(out, measureRetries(seed), measureAddresses(seed))
}

// Table gives the rows as a markdown table.
func Table(ros []Row) string {
	var sb strings.Builder
	sb.WriteString("| measure | baselines | figure | target | |\n|---|---|---|---|---|\n")
	for _, ro := range ros {
		met := "met"
		if !ro.Met {
			met = "**short**"
		}
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %s |\n", ro.Measure, ro.Baselines, ro.Figure, ro.Target, met)
	}
	return sb.String()
}
