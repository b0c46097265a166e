package session

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/worker"
)

const (
	// EntryPinTTL is how long an entry keeps a pin after it was last renewed.
	EntryPinTTL = 30 * time.Minute
	// holdersPerPin is the number of entries that store each pin.
	holdersPerPin = 2
	// maxPins is the largest number of pins in the table of one entry.
	maxPins = 200_000
	// pinTimeout is the timeout of a call to a holder of a pin. copyTimeout is that of a
	// holder's calls to another one, two of which must end before the holder's own
	// caller gives up.
	pinTimeout  = 300 * time.Millisecond
	copyTimeout = 100 * time.Millisecond
	// renewalsPerTTL is how many times in its time to live a pin that is used is renewed
	// at its holders.
	renewalsPerTTL = 4
)

// Key identifies a session within the site.
type Key string

// NewKey returns the key of an organisation's session on a model.
func NewKey(or policy.OrganisationID, mo policy.ModelID, id ID) Key {
	return Key(string(or) + "\x00" + string(mo) + "\x00" + string(id))
}

// pin is the version of a session.
type pin struct {
	version   policy.VersionID
	expiresAt time.Time
	// renewAt is when a use of the pin requests it from its holders again, which
	// renews it there.
	renewAt time.Time
}

// Pins maps sessions to the versions that they are pinned to. It stores the pins
// that this entry holds, and caches those that it has requested from their
// holders.
//
// mu guards pins and lastEntries; no call to a peer is made while it is held.
type Pins struct {
	group *peer.Group
	// ttl is how long a pin is kept after it was last renewed.
	ttl         time.Duration
	mu          sync.Mutex
	pins        map[Key]pin
	lastEntries []peer.Holder
}

// NewPins returns an empty table whose pins are kept for ttl after they were last
// renewed. Run keeps the pins on their holders when entries join or leave.
func NewPins(gr *peer.Group, ttl time.Duration) *Pins {
	return &Pins{group: gr, ttl: ttl, pins: map[Key]pin{}}
}

// Len returns the number of pins in the table, cached ones included.
func (pi *Pins) Len() int {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	return len(pi.pins)
}

// holdersOf returns the live entries that hold a session's pin.
func (pi *Pins) holdersOf(key Key) []peer.Holder { return selectHolders(pi.group.Holders(), key) }

func selectHolders(entries []peer.Holder, key Key) []peer.Holder {
	return peer.SelectHolders(entries, string(key), holdersPerPin)
}

// Version returns the version that a session is pinned to, and pins it to the
// proposed version if it has no pin. If several entries propose versions, the
// first one wins. A pin to the replaced version is moved to the proposed version.
// If no holder answers, the pin is stored at this entry alone.
func (pi *Pins) Version(ctx context.Context, key Key, proposed, replaced policy.VersionID) policy.VersionID {
	now := time.Now()
	if pn, ok := pi.get(key, now); ok && pn.version != replaced && now.Before(pn.renewAt) {
		return pn.version
	}
	rq := &rpc.PinRequest{
		Session: string(key), Version: string(proposed), Replaces: string(replaced),
		ExpiresAtMs: now.Add(pi.ttl).UnixMilli(),
	}
	for _, ho := range pi.holdersOf(key) {
		rs, err := pi.requestPin(ctx, ho, rq)
		if err == nil {
			version := policy.VersionID(rs.GetVersion())
			pi.put(key, version, now)
			return version
		}
	}
	return pi.putIfAbsent(key, proposed, replaced, now)
}

func (pi *Pins) requestPin(ctx context.Context, ho peer.Holder, rq *rpc.PinRequest) (*rpc.PinResponse, error) {
	if ho.Address == "" {
		return pi.Pin(ctx, rq)
	}
	timeout := pinTimeout
	if rq.GetCopy() {
		timeout = copyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return pi.group.Peer(ho.Address).Pin(ctx, rq)
}

// Pin implements peer.Pins for sessions whose pins this entry holds. If it has no
// pin for a session, it asks the other holders before it accepts the proposal,
// because it may only just have become a holder. It sends the resulting pin to the
// other holders. A request with Copy set comes from another holder and is answered
// by storeCopy alone.
func (pi *Pins) Pin(ctx context.Context, rq *rpc.PinRequest) (*rpc.PinResponse, error) {
	key, now := Key(rq.GetSession()), time.Now()
	proposed, replaced := policy.VersionID(rq.GetVersion()), policy.VersionID(rq.GetReplaces())
	if rq.GetCopy() {
		return pi.storeCopy(key, proposed, replaced, now), nil
	}
	_, known := pi.get(key, now)
	if !known {
		if version := pi.fetchCopy(ctx, key, rq); version != "" && version != replaced {
			pi.putIfAbsent(key, version, replaced, now)
		}
	}
	version := pi.putIfAbsent(key, proposed, replaced, now)
	pi.sendCopies(ctx, key, version, replaced, rq.GetExpiresAtMs())
	return &rpc.PinResponse{Version: string(version)}, nil
}

// storeCopy stores a pin sent by another holder unless this entry has one to a
// version other than replaced, and returns the resulting version. With an empty
// version it stores nothing and returns the version that this entry's table has, or ""
// if it has none.
func (pi *Pins) storeCopy(key Key, version, replaced policy.VersionID, now time.Time) *rpc.PinResponse {
	pn, known := pi.get(key, now)
	if version == "" && !known {
		return &rpc.PinResponse{}
	}
	if version == "" {
		return &rpc.PinResponse{Version: string(pn.version)}
	}
	if !known || pn.version == replaced {
		pi.put(key, version, now)
		return &rpc.PinResponse{Version: string(version)}
	}
	return &rpc.PinResponse{Version: string(pn.version)}
}

// fetchCopy returns the version from the first of the other holders that has a pin
// for the session, or "" if none has.
func (pi *Pins) fetchCopy(ctx context.Context, key Key, rq *rpc.PinRequest) policy.VersionID {
	for _, ho := range pi.holdersOf(key) {
		if ho.Address == "" {
			continue
		}
		rs, err := pi.requestPin(ctx, ho, &rpc.PinRequest{Session: rq.GetSession(), Copy: true})
		if err == nil && rs.GetVersion() != "" {
			return policy.VersionID(rs.GetVersion())
		}
	}
	return ""
}

// sendCopies sends a pin to its holders other than this entry. It ignores errors.
func (pi *Pins) sendCopies(ctx context.Context, key Key, version, replaced policy.VersionID, expiresAtMS int64) {
	for _, ho := range pi.holdersOf(key) {
		pi.sendCopy(ctx, ho, key, version, replaced, expiresAtMS)
	}
}

// sendCopy sends a pin to another holder. It ignores errors, and does nothing if the
// holder is this entry.
func (pi *Pins) sendCopy(ctx context.Context, ho peer.Holder, key Key, version, replaced policy.VersionID, expiresAtMS int64) {
	if ho.Address == "" {
		return
	}
	_, _ = pi.requestPin(ctx, ho, &rpc.PinRequest{
		Session: string(key), Version: string(version), Copy: true,
		Replaces: string(replaced), ExpiresAtMs: expiresAtMS,
	})
}

// get returns a session's pin, and reports whether there is one that has not
// expired.
func (pi *Pins) get(key Key, now time.Time) (pin, bool) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	pn, ok := pi.pins[key]
	return pn, ok && now.Before(pn.expiresAt)
}

func (pi *Pins) put(key Key, version policy.VersionID, now time.Time) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	pi.putLocked(key, version, now)
}

// putIfAbsent pins a session to a version unless it has a pin to a version other
// than replaced, and returns the version that it is then pinned to. Either way it
// renews the pin.
func (pi *Pins) putIfAbsent(key Key, version, replaced policy.VersionID, now time.Time) policy.VersionID {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	if pn, ok := pi.pins[key]; ok && now.Before(pn.expiresAt) && pn.version != replaced {
		version = pn.version
	}
	pi.putLocked(key, version, now)
	return version
}

func (pi *Pins) putLocked(key Key, version policy.VersionID, now time.Time) {
	if _, ok := pi.pins[key]; !ok && len(pi.pins) >= maxPins {
		pi.evictPins(now)
	}
	pi.pins[key] = pin{version: version, expiresAt: now.Add(pi.ttl), renewAt: now.Add(pi.ttl / renewalsPerTTL)}
}

// evictPins removes the expired pins. If that leaves less than a sixteenth of
// maxPins free, it also removes arbitrary others until so much is free: it visits
// every pin, so it must not be needed again soon.
func (pi *Pins) evictPins(now time.Time) {
	for key, pn := range pi.pins {
		if now.After(pn.expiresAt) {
			delete(pi.pins, key)
		}
	}
	for key := range pi.pins {
		if len(pi.pins) < maxPins-maxPins/16 {
			return
		}
		delete(pi.pins, key)
	}
}

// Run checks at each interval whether entries have joined, left or restarted. If
// so, it sends the pins to those holders that are new. It blocks until ctx is done.
func (pi *Pins) Run(ctx context.Context, interval time.Duration) {
	for worker.Sleep(ctx, interval) {
		before, now := pi.updateEntries()
		if !slices.Equal(before, now) {
			pi.replicatePins(ctx, before, now)
		}
	}
}

// updateEntries records the live entries, and returns those recorded before and now,
// sorted by VM.
func (pi *Pins) updateEntries() (before, now []peer.Holder) {
	now = pi.group.Holders()
	slices.SortFunc(now, func(a, b peer.Holder) int { return cmp.Compare(a.VM, b.VM) })
	pi.mu.Lock()
	defer pi.mu.Unlock()
	before, pi.lastEntries = pi.lastEntries, now
	return before, now
}

// replicatePins sends each pin in the table, cached ones included, to its holders among
// the entries now that were not its holders before.
func (pi *Pins) replicatePins(ctx context.Context, before, now []peer.Holder) {
	for key, pn := range pi.livePins() {
		old := selectHolders(before, key)
		for _, ho := range selectHolders(now, key) {
			if ctx.Err() != nil {
				return
			}
			if !slices.Contains(old, ho) {
				pi.sendCopy(ctx, ho, key, pn.version, "", pn.expiresAt.UnixMilli())
			}
		}
	}
}

// livePins returns a copy of the pins that have not expired, and deletes the others.
func (pi *Pins) livePins() map[Key]pin {
	now := time.Now()
	pi.mu.Lock()
	defer pi.mu.Unlock()
	maps.DeleteFunc(pi.pins, func(_ Key, pn pin) bool { return now.After(pn.expiresAt) })
	return maps.Clone(pi.pins)
}
