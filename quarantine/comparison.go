package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// maxCompared is the number of crashes of a service that are compared, the newest ones, and
	// maxAnswers that of answers of one of them.
	maxCompared = 64
	maxAnswers  = 64
	// maxChance is the largest chance with which a subject is in as many crashes as it is without being
	// their cause, if it is to be quarantined.
	maxChance = 1e-4
	// minCausedPercent is the percentage of the crashes in which their cause is at least: some reports get
	// lost.
	minCausedPercent = 90
	// settleTime is the time after a crash in which all reports of it arrive.
	settleTime = reportTimeout
)

// Comparison compares the crashes of a service of which no answer has gone well yet. The cause may be in the
// endpoints, and then a usual part of prompts is in many of them too. What tells the cause is that it is in more
// of them than its share of the answers makes likely. It is not safe for concurrent use.
type Comparison struct {
	crashes []*comparedCrash
}

// comparedCrash is a crash with the answers that it broke off: their subjects, by request.
type comparedCrash struct {
	incident
	answers map[string]map[policy.Subject]bool
}

// Add adds a crash, and reports whether it is new. Several answers and subjects may report one.
func (co *Comparison) Add(cr Crash) bool {
	request := string(cr.Request)
	if request == "" {
		request = string(cr.Subject.Request)
	}
	in, isNew := co.crashOf(cr)
	switch {
	case in.answers[request] != nil:
		in.answers[request][cr.Subject] = true
	case len(in.answers) < maxAnswers:
		in.answers[request] = map[policy.Subject]bool{cr.Subject: true}
	}
	return isNew
}

// crashOf returns the crash of an endpoint of which a broken answer is a part, and whether it is new.
func (co *Comparison) crashOf(cr Crash) (in *comparedCrash, isNew bool) {
	for _, in := range co.crashes {
		if in.run.ID == cr.Endpoint && cr.At.Sub(in.at).Abs() < restartTime {
			return in, false
		}
	}
	in = &comparedCrash{
		incident: incident{at: cr.At, run: policy.EndpointRun{ID: cr.Endpoint, StartedAtMs: cr.StartedAtMs}},
		answers:  map[string]map[policy.Subject]bool{},
	}
	co.crashes = append(co.crashes, in)
	co.crashes = co.crashes[max(0, len(co.crashes)-maxCompared):]
	return in, true
}

// Causes returns the subjects that are in so many of the crashes that they are their cause.
func (co *Comparison) Causes(now time.Time) map[policy.Subject]Verdict {
	settled := slices.DeleteFunc(slices.Clone(co.crashes), func(in *comparedCrash) bool {
		return now.Sub(in.at) < settleTime || now.Sub(in.at) > evidenceTTL
	})
	out, least := map[policy.Subject]Verdict{}, maxChance
	for su, oc := range occurrences(settled) {
		ve := Verdict{Crashes: separateCrashes(oc.crashes), Requests: int64(len(oc.requests))}
		if !enough(su, ve) {
			continue
		}
		chance := oc.chance(settled)
		if chance < least {
			clear(out)
		}
		if chance <= least {
			least, out[su] = chance, ve
		}
	}
	return out
}

// occurrence says where a subject is: in which crashes and in how many answers, to which requests.
type occurrence struct {
	crashes  []*incident
	answers  int
	requests map[string]bool
}

// occurrences returns where the subjects are that nearly all crashes have.
func occurrences(ins []*comparedCrash) map[policy.Subject]*occurrence {
	out := map[policy.Subject]*occurrence{}
	for _, in := range ins {
		for request, sus := range in.answers {
			for su := range sus {
				oc := out[su]
				if oc == nil {
					oc = &occurrence{requests: map[string]bool{}}
					out[su] = oc
				}
				if n := len(oc.crashes); n == 0 || oc.crashes[n-1] != &in.incident {
					oc.crashes = append(oc.crashes, &in.incident)
				}
				oc.answers++
				oc.requests[request] = true
			}
		}
	}
	maps.DeleteFunc(out, func(_ policy.Subject, oc *occurrence) bool {
		return len(oc.crashes)*100 < len(ins)*minCausedPercent
	})
	return out
}

// chance returns the chance that a subject is in as many of the crashes, or in more, if each answer is
// to a request with it as often as any other.
func (oc *occurrence) chance(ins []*comparedCrash) float64 {
	answers := 0
	for _, in := range ins {
		answers += len(in.answers)
	}
	without := 1 - float64(oc.answers)/float64(answers)
	// byCount holds the chances to be in 0, 1, 2 and so on of the crashes looked at so far.
	byCount := []float64{1}
	for _, in := range ins {
		missing := math.Pow(without, float64(len(in.answers)))
		next := make([]float64, len(byCount)+1)
		for n, chance := range byCount {
			next[n] += chance * missing
			next[n+1] += chance * (1 - missing)
		}
		byCount = next
	}
	sum := 0.0
	for _, chance := range byCount[len(oc.crashes):] {
		sum += chance
	}
	return sum
}

// compareCrashes adds crashes that don't count as evidence, since no answer of their service has gone well, and
// quarantines what is their cause all the same.
func (li *List) compareCrashes(now time.Time, crs []Crash) {
	li.mu.Lock()
	defer li.mu.Unlock()
	services := map[policy.ServiceID]bool{}
	for _, cr := range crs {
		co, ok := li.comparisons.Get(cr.Service)
		if !ok {
			co = &Comparison{}
			li.comparisons.Add(cr.Service, co)
		}
		isNew := co.Add(cr)
		services[cr.Service] = services[cr.Service] || isNew
	}
	for id, isNew := range services {
		if !isNew {
			continue
		}
		co, _ := li.comparisons.Get(id)
		for su, ve := range co.Causes(now) {
			if !li.proofs.Proven(now, su) {
				li.quarantine(now, su, ve, "")
			}
		}
	}
}
