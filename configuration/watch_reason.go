package configuration

import (
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
)

const (
	// joinTime is how long after its start a daemon that is no seed waits for word of its
	// peers before it takes itself for one of the first.
	joinTime = time.Second
	// failedTurnStep is the time between two daemons that begin because their peers cannot be reached
	// or have lost the store, and maxFailedTurn the longest time for which one leaves it to those before
	// it. A peer that fails so is noticed sooner than a silent one.
	failedTurnStep = 100 * time.Millisecond
	maxFailedTurn  = 1500 * time.Millisecond
	// minWatchTime is how long a daemon watches the store at least once it has begun to in
	// place of others.
	minWatchTime = 3 * time.Second
)

// WatchReason says why a daemon watches the store. Logs and dumps show it.
type WatchReason string

// The values of WatchReason.
const (
	// WatchNot: the daemon follows peers.
	WatchNot WatchReason = "follows_peers"
	// WatchNoPolicy: the daemon has no policy yet, or one that a build of a lower form translated.
	WatchNoPolicy WatchReason = "no_policy"
	// WatchRank: the daemon is one of the first.
	WatchRank WatchReason = "rank"
	// WatchUnreachable: no peer could be followed.
	WatchUnreachable WatchReason = "peers_unreachable"
	// WatchStale: the peers have had no word from the store for too long.
	WatchStale WatchReason = "peers_without_store"
	// WatchInPlace: the daemon has begun to watch the store in place of others, which have
	// had no word from it since.
	WatchInPlace WatchReason = "in_place_of_others"
)

// watchesStore reports whether this daemon is to watch the store now.
func (fo *Follower) watchesStore(now time.Time) bool {
	rank, daemons := fo.upstream.WatchRank()
	upstreams := len(fo.upstream.Upstreams())
	se, evidence := fo.holder.Set(), fo.holder.Evidence()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	reason := WatchNoPolicy
	if se.Revision > 0 && se.Form == policy.NewestForm {
		reason = fo.decide(now, rank, daemons, upstreams, evidence)
	}
	if reason != fo.reason {
		fo.log.Info(event.WatchRoleChanged, event.Fields{"reason": reason, "before": fo.reason, "rank": rank, "daemons": daemons, "evidence": evidence})
		fo.reason = reason
	}
	return reason != WatchNot
}

// decide returns why a daemon that has a policy watches the store, given its rank among a number of
// daemons, the number of peers that it may follow, and its newest evidence. The caller holds mu.
func (fo *Follower) decide(now time.Time, rank, daemons, upstreams int, evidence time.Time) WatchReason {
	turn, joined := fo.maxAge+fo.turnDelay(rank, daemons), now.Sub(fo.startedAt) >= joinTime
	failedTurn := min(time.Duration(max(0, rank-fo.watchers))*failedTurnStep, maxFailedTurn)
	switch {
	case rank < fo.watchers && (fo.upstream.Seed() || joined && !fo.upstream.Alone()):
		return WatchRank
	case joined && upstreams > 0 && fo.unreachable >= followedPeers && !evidence.After(fo.unreachableAt) && now.Sub(fo.unreachableAt) >= failedTurn:
		fo.watchUntil = now.Add(minWatchTime)
		return WatchUnreachable
	case fo.lostPeers >= lostAnswers && !evidence.After(fo.lostAt) && now.Sub(fo.lostAt) >= failedTurn:
		fo.watchUntil = now.Add(minWatchTime)
		return WatchStale
	case now.Sub(evidence) > turn && now.Sub(fo.startedAt) > joinTime+turn:
		// After a start of all daemons the first ones begin after joinTime.
		fo.watchUntil = now.Add(minWatchTime)
		return WatchStale
	case fo.watches() && (now.Before(fo.watchUntil) || now.Sub(fo.peerAnsweredAt) > fo.maxAge):
		return WatchInPlace
	default:
		return WatchNot
	}
}

// watches reports whether this daemon watches the store in place of others. The caller holds
// mu.
func (fo *Follower) watches() bool {
	return fo.reason == WatchStale || fo.reason == WatchUnreachable || fo.reason == WatchInPlace
}
