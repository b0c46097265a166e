package relay

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// healthPrefix is the prefix of the routers' items on releases under roll-out:
// release/SERVICE/VM.
const healthPrefix = "release/"

// releases decides which release of a service a request runs on, and judges
// the releases that are rolled out.
//
// mu guards trials. The sessions' own lock is taken after it.
type releases struct {
	router   *Router
	sessions *sessions
	mu       sync.Mutex
	trials   map[policy.ServiceID]*trial
}

// trial is a release under roll-out as this router sees it.
type trial struct {
	target policy.ReleaseID
	guard  rollout.HealthTest
	// stable counts the answers of the release in use in the same time.
	stable rollout.Counts
	// bad is why the release is bad, "" while it is not known to be.
	bad string
	// here and elsewhere are the sessions settled on the release in use, as seen
	// by this router and as told by the others.
	here, elsewhere settled
	// heardAnswers counts the other routers' answers of the new release.
	heardAnswers int64
	// seenAt is when this router learnt of the roll-out.
	seenAt time.Time
}

func newReleases(ro *Router) *releases {
	return &releases{router: ro, sessions: newSessions(), trials: map[policy.ServiceID]*trial{}}
}

// endpoints gives those that a call may be sent to, and those that may have it
// when none of them can.
func (re *releases) endpoints(now time.Time, ca *call) (ens, instead []policy.Endpoint) {
	all := re.router.fleet.of(now, ca.service.ID)
	ro, ok := re.router.holder.Set().ServiceRollout(ca.service.ID)
	if !ok {
		return all, nil
	}
	current, target := byRelease(all, ro.ToVersion)
	switch ro.State {
	case rpc.RolloutState_DONE:
		return target, nil
	case rpc.RolloutState_ABORTED:
		return current, nil
	}
	re.mu.Lock()
	tr := re.get(now, ro)
	exposed := rollout.TrialShare(re.router.options().Rollout.GetExposedShare(), len(current))
	share := re.plan(ro, tr).Share(now, exposed, tr.heardAnswers+tr.guard.Answers)
	bad := tr.bad != ""
	re.mu.Unlock()
	if bad || len(target) == 0 || !re.tries(now, ca, ro, share) {
		return current, nil
	}
	return target, current
}

// tries tells whether a request goes to a release under roll-out: one of a
// session that goes on stays where the session was, a new one goes by the
// share. A request that failed on trial goes on with the release in use.
func (re *releases) tries(now time.Time, ca *call, ro policy.Rollout, share float64) bool {
	if share >= 1 {
		return true
	}
	if len(ca.tried) > 0 {
		return false
	}
	keep := re.sessionKeep()
	if last, ok := re.sessions.release(now, sessionKey{ca.service.ID, ca.request.Session}, keep); ok {
		return string(last) == ro.ToVersion
	}
	if ca.request.draw(ro.ToVersion) >= share {
		return false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	return !re.get(now, ro).elsewhere.has(hashSession(ca.request.Session), now.Add(-keep))
}

func (re *releases) sessionKeep() time.Duration {
	return sessionFactor * re.router.options().Serving.GetSessionKeep().AsDuration()
}

// sent notes which release a request goes to.
func (re *releases) sent(now time.Time, ca *call, en policy.Endpoint) {
	id := ca.request.Session
	if id == "" {
		return
	}
	re.sessions.note(now, sessionKey{ca.service.ID, id}, policy.ReleaseID(en.Release))
	ro, ok := re.router.holder.Set().ServiceRollout(ca.service.ID)
	if !ok || !ro.Active() || en.Release == ro.ToVersion || ca.request.draw(ro.ToVersion) >= re.router.options().Rollout.GetExposedShare() {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	re.get(now, ro).here.note(now, hashSession(id))
}

// sessionFactor times the time between a session's requests is how long it is
// remembered: that time runs from the end of the request before, which may last.
const sessionFactor = 2

func byRelease(ens []policy.Endpoint, release string) (others, of []policy.Endpoint) {
	for _, en := range ens {
		if en.Release == release {
			of = append(of, en)
		} else {
			others = append(others, en)
		}
	}
	return others, of
}

func (re *releases) get(now time.Time, ro policy.Rollout) *trial {
	id := policy.ServiceID(ro.Service)
	tr, ok := re.trials[id]
	if !ok || tr.target != policy.ReleaseID(ro.ToVersion) {
		tr = &trial{target: policy.ReleaseID(ro.ToVersion), seenAt: now, here: settled{}, elsewhere: settled{}}
		re.trials[id] = tr
		re.settle(now, ro, tr)
	}
	return tr
}

// settle notes the sessions that go on with the release in use as a trial begins.
func (re *releases) settle(now time.Time, ro policy.Rollout, tr *trial) {
	exposed := re.router.options().Rollout.GetExposedShare()
	re.sessions.recent(policy.ServiceID(ro.Service), now.Add(-re.sessionKeep()), func(id SessionID, se seenSession) {
		if se.release != tr.target && drawOf(ro.ToVersion, string(id)) < exposed {
			tr.here.note(se.at, hashSession(id))
		}
	})
}

const (
	// trialDelay is how long routers take to tell each other the sessions that
	// go on with the release in use, in a small group.
	trialDelay = 2500 * time.Millisecond
	// longestDelay is the part of a roll-out's time that this may take.
	longestDelay = 0.3
)

// plan gives the roll-out's times: from when it was taken up, or was seen here.
func (re *releases) plan(ro policy.Rollout, tr *trial) rollout.Plan {
	started := tr.seenAt
	if ro.StartedAtMs > 0 {
		started = time.UnixMilli(ro.StartedAtMs)
	}
	lasts := time.Duration(ro.DurationMs) * time.Millisecond
	delay := min(re.router.peers.Paced(trialDelay), time.Duration(longestDelay*float64(lasts)))
	return rollout.Plan{StartedAt: started, TrialAt: started.Add(delay), DeadlineAt: started.Add(lasts)}
}

// observe takes in an answer, or a failure, of an endpoint.
func (re *releases) observe(id policy.ServiceID, en policy.Endpoint, ou rollout.Outcome) {
	ro, ok := re.router.holder.Set().ServiceRollout(id)
	if !ok || !ro.Active() {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	tr := re.get(time.Now(), ro)
	if policy.ReleaseID(en.Release) != tr.target {
		tr.guard.Stable(ou)
		tr.stable.Observe(ou)
		return
	}
	tr.guard.Candidate(ou)
	if reason := tr.guard.RejectionReason(); reason != "" {
		re.condemn(ro, tr, reason)
	}
}

// condemn stops a release at this router.
func (re *releases) condemn(ro policy.Rollout, tr *trial, reason string) {
	if tr.bad != "" {
		return
	}
	tr.bad = reason
	re.router.log.Warn(event.VersionSuspect, nil, event.Fields{
		"service": ro.Service, "release": tr.target, "reason": reason,
		"answers": tr.guard.Answers, "failures": tr.guard.Failures,
	})
}

// refresh takes in what the other routers saw: one that found a release bad
// stops it everywhere, and so do failures that are few at each router.
func (re *releases) refresh() {
	se, now := re.router.holder.Set(), time.Now()
	for _, ro := range se.Rollouts.List() {
		if ro.Service == "" || !ro.Active() {
			continue
		}
		heard := re.heard(ro)
		re.mu.Lock()
		tr := re.get(now, ro)
		tr.heardAnswers = heard.target.Answers
		for _, ha := range heard.settled {
			tr.elsewhere.note(now, ha)
		}
		tr.elsewhere.prune(now.Add(-re.sessionKeep()))
		target := heard.target.Add(rollout.Counts{Answers: tr.guard.Answers, Failures: tr.guard.Failures})
		switch {
		case heard.bad != "":
			re.condemn(ro, tr, heard.bad)
		case target.SignificantlyWorse(heard.stable.Add(tr.stable)):
			re.condemn(ro, tr, "failures over all routers")
		}
		re.mu.Unlock()
	}
}

// heardRelease is what the other routers told of a roll-out.
type heardRelease struct {
	bad            string
	target, stable rollout.Counts
	stableInFlight int64
	settled        []sessionHash
}

func (re *releases) heard(ro policy.Rollout) heardRelease {
	var out heardRelease
	pe := re.router.peers
	own := healthKey(ro.Service, string(pe.VM()))
	for _, it := range pe.Board().Under(healthPrefix + ro.Service + "/") {
		var he rpc.VersionHealth
		if it.Key == own || proto.Unmarshal(it.Value, &he) != nil || he.GetVersion() != ro.ToVersion {
			continue
		}
		if he.GetSuspect() {
			out.bad = he.GetReason()
		}
		out.target = out.target.Add(rollout.Counts{Answers: he.GetAnswers(), Failures: he.GetFailures()})
		out.stable = out.stable.Add(rollout.Counts{Answers: he.GetStableAnswers(), Failures: he.GetStableFailures()})
		if time.Since(it.WrittenAt) < inFlightLifetime {
			out.stableInFlight += he.GetStableInFlight()
			for _, ha := range he.GetStableSessions() {
				out.settled = append(out.settled, sessionHash(ha))
			}
		}
	}
	return out
}

// inFlightLifetime is how long a router's word on its requests in flight counts.
const inFlightLifetime = 4 * time.Second

func healthKey(service, vm string) string { return healthPrefix + service + "/" + vm }

// publish tells the other routers what this one saw.
func (re *releases) publish() {
	for _, ro := range re.router.holder.Set().Rollouts.List() {
		if ro.Service == "" || !ro.Active() {
			continue
		}
		inFlight := re.stableInFlight(ro)
		re.mu.Lock()
		now := time.Now()
		tr := re.get(now, ro)
		tr.here.prune(now.Add(-re.sessionKeep()))
		he := &rpc.VersionHealth{
			Version: ro.ToVersion, Answers: tr.guard.Answers, Failures: tr.guard.Failures,
			StableAnswers: tr.stable.Answers, StableFailures: tr.stable.Failures,
			Suspect: tr.bad != "", Reason: tr.bad, StableInFlight: inFlight,
		}
		for ha := range tr.here {
			he.StableSessions = append(he.StableSessions, uint32(ha))
		}
		slices.Sort(he.StableSessions)
		re.mu.Unlock()
		re.router.peers.Publish(healthKey(ro.Service, string(re.router.peers.VM())), he)
	}
}

// stableInFlight counts this router's requests on the release in use.
func (re *releases) stableInFlight(ro policy.Rollout) int64 {
	sum := 0
	loads := re.router.balancer.Loads()
	for _, en := range re.router.holder.Set().Endpoints.List() {
		if en.Service == ro.Service && en.Release != ro.ToVersion {
			sum += loads[en.ID].Running
		}
	}
	return int64(sum)
}

// RolloutProgress judges a roll-out that is under way.
func (ro *Router) RolloutProgress(now time.Time, rec policy.Rollout) rollout.Progress {
	heard := ro.releases.heard(rec)
	inFlight := ro.releases.stableInFlight(rec)
	ro.releases.mu.Lock()
	defer ro.releases.mu.Unlock()
	tr := ro.releases.get(now, rec)
	pr := rollout.Progress{
		Plan: ro.releases.plan(rec, tr), Started: rec.StartedAtMs > 0, RejectionReason: tr.bad,
		Answers: heard.target.Answers + tr.guard.Answers, StableInFlight: heard.stableInFlight + inFlight,
	}
	if pr.RejectionReason == "" {
		pr.RejectionReason = heard.bad
	}
	return pr
}
