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
	last *lru.Cache[sessionKey, seenSession]
}

// sessionKey names a session at a service: the releases of services differ.
type sessionKey struct {
	service policy.ServiceID
	session SessionID
}

// seenSession is a session's last request here.
type seenSession struct {
	release policy.ReleaseID
	at      time.Time
}

func newSessions() *sessions {
	ca, err := lru.New[sessionKey, seenSession](maxSessions)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &sessions{last: ca}
}

// note records where a session's request goes.
func (ss *sessions) note(now time.Time, key sessionKey, release policy.ReleaseID) {
	ss.last.Add(key, seenSession{release: release, at: now})
}

// release gives what a session that goes on ran on last; false for a new one.
func (ss *sessions) release(now time.Time, key sessionKey, keep time.Duration) (policy.ReleaseID, bool) {
	se, ok := ss.last.Get(key)
	if !ok || now.Sub(se.at) > keep {
		return "", false
	}
	return se.release, true
}

// recent visits a service's sessions seen after a time.
func (ss *sessions) recent(service policy.ServiceID, after time.Time, visit func(id SessionID, se seenSession)) {
	for _, key := range ss.last.Keys() {
		if se, ok := ss.last.Peek(key); ok && key.service == service && se.at.After(after) {
			visit(key.session, se)
		}
	}
}

// sessionHash is the short name by which routers tell of sessions.
type sessionHash uint32

func hashSession(id SessionID) sessionHash { return sessionHash(xxhash.Sum64String(string(id))) }

// settled are sessions that a trial would take, but that run on the release in
// use, with when each was last seen: here, or by word of another router.
type settled map[sessionHash]time.Time

// note records a session.
func (sd settled) note(now time.Time, ha sessionHash) { sd[ha] = now }

// has tells whether a session was seen after a time.
func (sd settled) has(ha sessionHash, after time.Time) bool { return sd[ha].After(after) }

// prune forgets the sessions not seen after a time.
func (sd settled) prune(after time.Time) {
	for ha, at := range sd {
		if !at.After(after) {
			delete(sd, ha)
		}
	}
}
