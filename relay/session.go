package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

// maxSessions bounds the sessions that a router remembers.
const maxSessions = 16384

// sessions remembers the release that each session ran on last, so that none
// moves to and fro while a release is on trial.
type sessions struct {
	last *lru.Cache[sessionKey, lastRequest]
}

// sessionKey names a session at a service: the releases of services differ.
type sessionKey struct {
	service policy.ServiceID
	session SessionID
}

// lastRequest is a session's last request here.
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

// record records where a session's request goes.
func (ss *sessions) record(now time.Time, key sessionKey, release policy.ReleaseID) {
	ss.last.Add(key, lastRequest{release: release, at: now})
}

// release gives what a session that goes on ran on last; false for a new one.
func (ss *sessions) release(now time.Time, key sessionKey, retention time.Duration) (policy.ReleaseID, bool) {
	lr, ok := ss.last.Get(key)
	if !ok || now.Sub(lr.at) > retention {
		return "", false
	}
	return lr.release, true
}

// forEachSince visits a service's sessions seen after a time.
func (ss *sessions) forEachSince(service policy.ServiceID, after time.Time, visit func(id SessionID, lr lastRequest)) {
	for _, key := range ss.last.Keys() {
		if lr, ok := ss.last.Peek(key); ok && key.service == service && lr.at.After(after) {
			visit(key.session, lr)
		}
	}
}

// sessionHash is the short name by which routers tell of sessions.
type sessionHash uint32

func hashSession(id SessionID) sessionHash { return sessionHash(xxhash.Sum64String(string(id))) }

// settledSessions are sessions that a trial would take, but that run on the release in
// use, with when each was last seen: here, or by word of another router.
type settledSessions map[sessionHash]time.Time

// record records a session.
func (st settledSessions) record(now time.Time, ha sessionHash) { st[ha] = now }

// seenSince tells whether a session was seen after a time.
func (st settledSessions) seenSince(ha sessionHash, after time.Time) bool { return st[ha].After(after) }

// prune forgets the sessions not seen after a time.
func (st settledSessions) prune(after time.Time) {
	for ha, at := range st {
		if !at.After(after) {
			delete(st, ha)
		}
	}
}
