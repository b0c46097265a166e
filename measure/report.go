package measure

import (
	"fmt"
	"strings"
)

// Row is the result of one measurement; Met reports whether Figure meets Target.
type Row struct {
	Measure   string
	Baselines string
	Figure    string
	Target    string
	Met       bool
}

// All runs every measurement but Placement, and returns their results. The same seed
// gives the same results.
func All(seed uint64) []Row {
	var out []Row
	for _, st := range []site{bagmati, savannah} {
		out = append(out, measureFlood(st, seed), measureFloors(st, seed), measureUseful(st, seed), measureFairness(st, seed), measureCombined(st, seed))
	}
	out = append(out, measureCascade(seed), measureDrift(seed), measureModelRemoval(seed), measureStoppedRatings(seed))
	out = append(out, measureEscalation(seed)...)
	out = append(out, measureExposure(seed)...)
	out = append(out, measureSmallRollouts(seed)...)
	return append(out, measureRetries(seed), measureQuarantine(seed, "requests with a prompt part", crashingPart, crashesToKnow),
		measureQuarantine(seed, "a request that comes again", crashingRequest, crashesOfRequest), measureLimits(seed), measureAddresses(seed), measureShortage(seed))
}

// Table returns the rows as a Markdown table.
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
