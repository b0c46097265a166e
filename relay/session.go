package relay

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/session"
)

const (
	// maxSessions is the maximum number of sessions that a router remembers.
	maxSessions = 16384
	// PinTTL is how long the routers keep the pin of a session that is not used. It is
	// longer than a request and the pause after it.
	PinTTL = time.Minute
	// retentionFactor is the multiple of the setting session_keep for which a session
	// is remembered. session_keep runs from the end of a session's previous request,
	// but the router remembers when it was sent, and it may itself take long.
	retentionFactor = 4
)

// sessions remembers the last release of each session that this router has served.
type sessions struct {
	last *lru.Cache[sessionKey, lastRequest]
}

// sessionKey identifies a session at a service, as each service has releases of
// its own.
type sessionKey struct {
	service policy.ServiceID
	session SessionID
}

// lastRequest is the last request of a session at this router.
type lastRequest struct {
	release policy.ReleaseID
	at      time.Time
}

func newSessions() *sessions {
	ca, err := lru.New[sessionKey, lastRequest](maxSessions)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &sessions{last: ca}
}

// record records the release that a session's request is sent to.
func (ss *sessions) record(now time.Time, key sessionKey, release policy.ReleaseID) {
	ss.last.Add(key, lastRequest{release: release, at: now})
}

// release returns the last release of a session, and false if the session has had
// no request within the retention period.
func (ss *sessions) release(now time.Time, key sessionKey, retention time.Duration) (policy.ReleaseID, bool) {
	lr, ok := ss.last.Get(key)
	if !ok || now.Sub(lr.at) > retention {
		return "", false
	}
	return lr.release, true
}

// since returns the sessions of a service that had a request after a time.
func (ss *sessions) since(service policy.ServiceID, after time.Time) []SessionID {
	var out []SessionID
	for _, key := range ss.last.Keys() {
		if lr, ok := ss.last.Peek(key); ok && key.service == service && lr.at.After(after) {
			out = append(out, key.session)
		}
	}
	return out
}

// sessionRetention returns how long a session is remembered after it was last seen.
func (rs *releaseSelector) sessionRetention() time.Duration {
	return retentionFactor * rs.router.options().Serving.GetSessionKeep().AsDuration()
}

// releaseInUse is the version to which the pin of a session is set that stays on the
// release in use.
const releaseInUse policy.VersionID = "in_use"

// pinKey returns the key under which the routers pin a session during a roll-out.
func pinKey(ro policy.Rollout, id SessionID) session.Key {
	return session.Key("release\x00" + ro.Service + "\x00" + ro.ToVersion + "\x00" + string(id))
}

// pin returns whether a session runs on the candidate. That is decided by its first
// request during the roll-out at any router, for which toCandidate is proposed.
func (rs *releaseSelector) pin(ctx context.Context, ro policy.Rollout, id SessionID, toCandidate bool) bool {
	proposed := releaseInUse
	if toCandidate {
		proposed = policy.VersionID(ro.ToVersion)
	}
	return rs.router.pins.Version(ctx, pinKey(ro, id), proposed, "") != releaseInUse
}

// pinRunning pins the sessions that this router served before it knew of a roll-out's
// start, once for each roll-out.
func (rs *releaseSelector) pinRunning(ctx context.Context) {
	now := time.Now()
	for _, ro := range rs.router.holder.Set().Rollouts.List() {
		if ro.Service == "" || !ro.Active() || ro.StartedAtMs == 0 {
			continue
		}
		rs.mu.Lock()
		st := rs.stateOf(now, ro)
		keeps := rs.plan(ro, st).KeepsSessions(now) && !st.runningPinned
		st.runningPinned = true
		rs.mu.Unlock()
		if !keeps {
			continue
		}
		for _, id := range rs.sessions.since(policy.ServiceID(ro.Service), now.Add(-rs.sessionRetention())) {
			if ctx.Err() == nil && hashFraction(ro.ToVersion, string(id)) < ro.TrialShare {
				rs.pin(ctx, ro, id, false)
			}
		}
	}
}
