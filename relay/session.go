package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

// maxSessions is the maximum number of sessions that a router remembers.
const maxSessions = 16384

// sessions remembers the last release of each session, so that no session switches
// between releases during a trial.
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

// forEachSince calls visit for each session of a service seen after a time.
func (ss *sessions) forEachSince(service policy.ServiceID, after time.Time, visit func(id SessionID, lr lastRequest)) {
	for _, key := range ss.last.Keys() {
		if lr, ok := ss.last.Peek(key); ok && key.service == service && lr.at.After(after) {
			visit(key.session, lr)
		}
	}
}

// sessionHash is a hash of a session's id, by which routers exchange sessions.
type sessionHash uint32

func hashSession(id SessionID) sessionHash { return sessionHash(xxhash.Sum64String(string(id))) }

// settledSessions holds sessions that stay on the release in use although their
// hash would assign them to the candidate during the trial. For each it holds the
// time at which it was last seen by this router or published by another one.
type settledSessions map[sessionHash]time.Time

// record records that a session was seen.
func (st settledSessions) record(now time.Time, ha sessionHash) { st[ha] = now }

// seenSince reports whether a session was seen after a time.
func (st settledSessions) seenSince(ha sessionHash, after time.Time) bool { return st[ha].After(after) }

// prune removes the sessions not seen after a time.
func (st settledSessions) prune(after time.Time) {
	for ha, at := range st {
		if !at.After(after) {
			delete(st, ha)
		}
	}
}
