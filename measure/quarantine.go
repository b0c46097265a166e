package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quarantine"
)

const (
	// crashRunLength is the length of a run. Requests with the crashing part come from
	// crashStart on, crashRate of them a second on average.
	crashRunLength = 60 * time.Second
	crashStart     = 15 * time.Second
	crashRate      = 6.0
	// crashReplicas start again restartTime after a crash, which comes crashDelay after
	// the head of an answer. A head comes headDelay after the request.
	crashReplicas = 9
	restartTime   = 4 * time.Second
	crashDelay    = 80 * time.Millisecond
	headDelay     = 60 * time.Millisecond
	// answerLength is the time from the head of a sound answer to its end.
	answerLength = 900 * time.Millisecond
	// recordDelay is the time from a verdict until all routers refuse the part.
	recordDelay = 1200 * time.Millisecond
	// crashesToKnow, crashGrace and maxCrashing are those of the target: how many
	// requests with the part reach replicas later than crashGrace after so many crashes.
	crashesToKnow = 5
	crashGrace    = 3 * time.Second
	maxCrashing   = 3
	// firstParts and subjects are the numbers of first and middle parts of sound prompts.
	firstParts = 3
	subjects   = 300
)

// crashRun simulates requests of which some share a prompt part that crashes each replica
// that begins to answer it.
type crashRun struct {
	*eventLoop
	rng      *rand.Rand
	started  time.Time
	evidence *quarantine.Evidence
	proofs   *quarantine.Proofs
	// quarantines is off in the baseline.
	quarantines bool
	refusedFrom map[policy.PromptPartID]time.Time
	// crashedAt holds the times of each replica's crashes, crashes those of all.
	crashedAt [crashReplicas][]time.Time
	crashes   []time.Time
	// late counts the requests with the part that reached replicas too late.
	late          int
	sound, served int
}

const crashingPart policy.PromptPartID = "crashing"

func newCrashRun(seed uint64, quarantines bool) *crashRun {
	cr := &crashRun{
		eventLoop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 23)), evidence: quarantine.NewEvidence(), proofs: quarantine.NewProofs(),
		quarantines: quarantines, refusedFrom: map[policy.PromptPartID]time.Time{},
	}
	cr.started = cr.now
	return cr
}

// simulate runs the requests.
func (cr *crashRun) simulate() {
	cr.arrive(0, requestRate, cr.soundPrompt)
	cr.arrive(crashStart, crashRate, cr.crashingPrompt)
	cr.run(crashRunLength)
}

// arrive starts a stream of requests.
func (cr *crashRun) arrive(from time.Duration, rate float64, prompt func() []policy.PromptPartID) {
	cr.after(from, func() {
		id := policy.PromptPartID(fmt.Sprint(cr.rng.Uint64()))
		cr.send(id, prompt(), 1)
		cr.arrive(time.Duration(cr.rng.ExpFloat64()/rate*float64(time.Second)), rate, prompt)
	})
}

func (cr *crashRun) soundPrompt() []policy.PromptPartID {
	cr.sound++
	return []policy.PromptPartID{policy.PromptPartID(fmt.Sprint("first", cr.rng.IntN(firstParts))), policy.PromptPartID(fmt.Sprint("subject", cr.rng.IntN(subjects)))}
}

func (cr *crashRun) crashingPrompt() []policy.PromptPartID {
	return []policy.PromptPartID{policy.PromptPartID(fmt.Sprint("first", cr.rng.IntN(firstParts))), crashingPart}
}

// send makes one attempt at a request.
func (cr *crashRun) send(id policy.PromptPartID, parts []policy.PromptPartID, attempt int) {
	re := cr.rng.IntN(crashReplicas)
	if attempt > maxAttempts || cr.refused(parts) {
		return
	}
	if cr.down(re) {
		// A refused connection is no attempt; look for another replica.
		cr.after(time.Millisecond, func() { cr.send(id, parts, attempt) })
		return
	}
	crashing := parts[1] == crashingPart
	if crashing && len(cr.crashes) >= crashesToKnow && cr.now.After(cr.crashes[crashesToKnow-1].Add(crashGrace)) {
		cr.late++
	}
	sentAt := cr.now
	if crashing {
		cr.after(headDelay+crashDelay, func() { cr.crash(re) })
		cr.after(headDelay+crashDelay, func() { cr.brokeOff(id, parts, re, attempt) })
		return
	}
	cr.after(headDelay+answerLength, func() {
		if !cr.crashedSince(re, sentAt) {
			cr.served++
			cr.proofs.Add(cr.now, parts)
			return
		}
		// The break is noticed at once, though only simulated here.
		if at := cr.firstCrashAfter(re, sentAt).Sub(sentAt); at > headDelay && at < headDelay+crashDelay {
			cr.report(id, parts, re)
		}
		cr.send(id, parts, attempt+1)
	})
}

func (cr *crashRun) crash(re int) {
	if !cr.down(re) {
		cr.crashedAt[re] = append(cr.crashedAt[re], cr.now)
		cr.crashes = append(cr.crashes, cr.now)
	}
}

func (cr *crashRun) brokeOff(id policy.PromptPartID, parts []policy.PromptPartID, re, attempt int) {
	cr.report(id, parts, re)
	cr.send(id, parts, attempt+1)
}

// report adds the evidence of an answer that broke off soon after its head.
func (cr *crashRun) report(id policy.PromptPartID, parts []policy.PromptPartID, re int) {
	for _, part := range parts {
		if !cr.quarantines || !cr.proofs.Contrast(cr.now) || cr.proofs.Proven(cr.now, part) {
			continue
		}
		_, ok := cr.evidence.Add(cr.now, quarantine.Crash{Part: part, Endpoint: policy.EndpointID(fmt.Sprint("replica-", re)), Request: id})
		if _, known := cr.refusedFrom[part]; ok && !known {
			cr.refusedFrom[part] = cr.now.Add(recordDelay)
		}
	}
}

func (cr *crashRun) refused(parts []policy.PromptPartID) bool {
	for _, part := range parts {
		if from, ok := cr.refusedFrom[part]; ok && !cr.now.Before(from) {
			return true
		}
	}
	return false
}

func (cr *crashRun) down(re int) bool {
	ats := cr.crashedAt[re]
	return len(ats) > 0 && cr.now.Before(ats[len(ats)-1].Add(restartTime))
}

func (cr *crashRun) crashedSince(re int, at time.Time) bool {
	ats := cr.crashedAt[re]
	return len(ats) > 0 && ats[len(ats)-1].After(at)
}

// firstCrashAfter returns the time of a replica's first crash after a time at which it was
// up. There must be one.
func (cr *crashRun) firstCrashAfter(re int, at time.Time) time.Time {
	for _, crashedAt := range cr.crashedAt[re] {
		if crashedAt.After(at) {
			return crashedAt
		}
	}
	return time.Time{}
}

// measureQuarantine measures how many requests with a crashing part reach replicas after
// enough crashes, beside what becomes of the sound ones.
func measureQuarantine(seed uint64) Row {
	none, production := newCrashRun(seed, false), newCrashRun(seed, true)
	none.simulate()
	production.simulate()
	soundRefused := len(production.refusedFrom)
	if _, ok := production.refusedFrom[crashingPart]; ok {
		soundRefused--
	}
	share := func(cr *crashRun) float64 { return float64(cr.served) / float64(cr.sound) }
	return Row{
		Measure:   "requests with a prompt part that crashes replicas, later than 3 s after the fifth crash; sound parts refused; sound requests served",
		Baselines: fmt.Sprintf("none: %d, %.2f served, %d crashes", none.late, share(none), len(none.crashes)),
		Figure:    fmt.Sprintf("%d; %d; %.2f, %d crashes", production.late, soundRefused, share(production), len(production.crashes)),
		Target:    "<= 3; none; more than without",
		Met:       production.late <= maxCrashing && soundRefused == 0 && share(production) > share(none),
	}
}
