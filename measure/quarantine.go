package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	// crashesToKnow, crashesOfRequest, crashGrace and maxCrashing are those of the targets:
	// how many requests with the part, or comings of the request, reach replicas later than
	// crashGrace after so many crashes.
	crashesToKnow    = 5
	crashesOfRequest = 3
	crashGrace       = 3 * time.Second
	maxCrashing      = 3
	// firstParts and subjects are the numbers of first and middle parts of sound prompts.
	firstParts = 3
	subjects   = 300
)

// crashRun simulates requests of which some share a subject that crashes each replica that
// begins to answer it: a prompt part, or that they are one request that comes again.
type crashRun struct {
	*eventLoop
	rng      *rand.Rand
	started  time.Time
	evidence *quarantine.Evidence
	proofs   *quarantine.Proofs
	crashing policy.Subject
	// known is the number of crashes from which the crashing subject is to be refused.
	known int
	// quarantines is off in the baseline.
	quarantines bool
	refusedFrom map[policy.Subject]time.Time
	// causes holds the subjects under which replicas do crash.
	causes map[policy.Subject]bool
	// crashedAt holds the times of each replica's crashes, crashes those of all.
	crashedAt [crashReplicas][]time.Time
	crashes   []time.Time
	// late counts the requests with the subject that reached replicas too late.
	late          int
	sound, served int
}

// crashingPart and crashingRequest are the subjects of the two runs.
var (
	crashingPart    = policy.Subject{Part: "crashing"}
	crashingRequest = policy.Subject{Request: "crashing"}
)

const crashService policy.ServiceID = "service"

func newCrashRun(seed uint64, crashing policy.Subject, known int, quarantines bool) *crashRun {
	cr := &crashRun{
		eventLoop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 23)), evidence: quarantine.NewEvidence(), proofs: quarantine.NewProofs(),
		crashing: crashing, known: known, quarantines: quarantines, refusedFrom: map[policy.Subject]time.Time{},
		causes: map[policy.Subject]bool{crashing: true},
	}
	cr.started = cr.now
	return cr
}

// simulate runs the requests.
func (cr *crashRun) simulate() {
	cr.arrive(0, requestRate, cr.soundSubjects)
	cr.arrive(crashStart, crashRate, cr.crashingSubjects)
	cr.run(crashRunLength)
}

// arrive starts a stream of requests.
func (cr *crashRun) arrive(from time.Duration, rate float64, subjects func(id policy.Fingerprint) []policy.Subject) {
	cr.after(from, func() {
		id := fmt.Sprint(cr.rng.Uint64())
		cr.send(policy.PromptPartID(id), subjects(policy.Fingerprint(id)), 1)
		cr.arrive(time.Duration(cr.rng.ExpFloat64()/rate*float64(time.Second)), rate, subjects)
	})
}

func (cr *crashRun) firstPart() policy.Subject {
	return policy.Subject{Part: policy.PromptPartID(fmt.Sprint("first", cr.rng.IntN(firstParts)))}
}

func (cr *crashRun) soundSubjects(id policy.Fingerprint) []policy.Subject {
	cr.sound++
	subject := policy.Subject{Part: policy.PromptPartID(fmt.Sprint("subject", cr.rng.IntN(subjects)))}
	return []policy.Subject{cr.firstPart(), subject, {Request: id}}
}

// crashingSubjects returns the subjects of a request that crashes replicas. One with the
// crashing part is itself a cause of the crashes under it.
func (cr *crashRun) crashingSubjects(id policy.Fingerprint) []policy.Subject {
	out := []policy.Subject{cr.firstPart(), cr.crashing}
	if cr.crashing.Request == "" {
		out = append(out, policy.Subject{Request: id})
		cr.causes[out[2]] = true
	}
	return out
}

// send makes one attempt at a request.
func (cr *crashRun) send(id policy.PromptPartID, sus []policy.Subject, attempt int) {
	re := cr.rng.IntN(crashReplicas)
	if attempt > maxAttempts || cr.refused(sus) {
		return
	}
	if cr.down(re) {
		// A refused connection is no attempt; look for another replica.
		cr.after(time.Millisecond, func() { cr.send(id, sus, attempt) })
		return
	}
	crashing := sus[1] == cr.crashing
	if crashing && len(cr.crashes) >= cr.known && cr.now.After(cr.crashes[cr.known-1].Add(crashGrace)) {
		cr.late++
	}
	sentAt := cr.now
	if crashing {
		cr.after(headDelay+crashDelay, func() { cr.crash(re) })
		cr.after(headDelay+crashDelay, func() { cr.brokeOff(id, sus, re, attempt) })
		return
	}
	cr.after(headDelay+answerLength, func() {
		if !cr.crashedSince(re, sentAt) {
			cr.served++
			cr.proofs.Add(cr.now, crashService, sus)
			return
		}
		// The break is noticed at once, though only simulated here.
		cr.report(cr.firstCrashAfter(re, sentAt), id, sus, re)
		cr.send(id, sus, attempt+1)
	})
}

func (cr *crashRun) crash(re int) {
	if !cr.down(re) {
		cr.crashedAt[re] = append(cr.crashedAt[re], cr.now)
		cr.crashes = append(cr.crashes, cr.now)
	}
}

func (cr *crashRun) brokeOff(id policy.PromptPartID, sus []policy.Subject, re, attempt int) {
	cr.report(cr.now, id, sus, re)
	cr.send(id, sus, attempt+1)
}

// report adds the evidence of an answer that broke off at a time.
func (cr *crashRun) report(at time.Time, id policy.PromptPartID, sus []policy.Subject, re int) {
	for _, su := range sus {
		if !cr.quarantines || !cr.proofs.Contrast(cr.now, crashService) || cr.proofs.Proven(cr.now, su) {
			continue
		}
		_, ok := cr.evidence.Add(at, quarantine.Crash{Subject: su, Service: crashService, Endpoint: policy.EndpointID(fmt.Sprint("replica-", re)), Request: id})
		if _, known := cr.refusedFrom[su]; ok && !known {
			cr.refusedFrom[su] = cr.now.Add(recordDelay)
		}
	}
	cr.endExplained()
}

// endExplained ends the quarantines of subjects that only ran beside another one.
func (cr *crashRun) endExplained() {
	cr.evidence.SetQuarantined(cr.now, cr.refusesSubject)
	for _, su := range cr.evidence.Explained(cr.now) {
		delete(cr.refusedFrom, su)
		cr.evidence.Forget(su)
	}
}

func (cr *crashRun) refused(sus []policy.Subject) bool {
	return slices.ContainsFunc(sus, cr.refusesSubject)
}

func (cr *crashRun) refusesSubject(su policy.Subject) bool {
	from, ok := cr.refusedFrom[su]
	return ok && !cr.now.Before(from)
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

// measureQuarantine measures how many requests with a subject that crashes replicas reach
// them after known crashes, beside what becomes of the sound ones. what names the subject.
func measureQuarantine(seed uint64, what string, crashing policy.Subject, known int) Row {
	none, production := newCrashRun(seed, crashing, known, false), newCrashRun(seed, crashing, known, true)
	none.simulate()
	production.simulate()
	soundRefused := 0
	for su := range production.refusedFrom {
		if !production.causes[su] {
			soundRefused++
		}
	}
	share := func(cr *crashRun) float64 { return float64(cr.served) / float64(cr.sound) }
	return Row{
		Measure:   fmt.Sprintf("%s that crashes replicas, sent later than 3 s after crash %d; sound subjects refused; sound requests served", what, known),
		Baselines: fmt.Sprintf("none: %d, %.2f served, %d crashes", none.late, share(none), len(none.crashes)),
		Figure:    fmt.Sprintf("%d; %d; %.2f, %d crashes", production.late, soundRefused, share(production), len(production.crashes)),
		Target:    "<= 3; none; more than without",
		Met:       production.late <= maxCrashing && soundRefused == 0 && share(production) > share(none),
	}
}
