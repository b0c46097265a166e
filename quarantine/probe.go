package quarantine

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

// probeDelays are the times from the begin of a quarantine to its first probe, and from
// each probe to the next. A probe is one request with the subject that is let through: if
// the subject was blamed for another's crashes, its answer ends the quarantine. There are few, as
// each may crash one more endpoint.
var probeDelays = []time.Duration{10 * time.Second, time.Minute}

const (
	// probeTimeout is how long a request waits for the store to let it through.
	probeTimeout = 300 * time.Millisecond
	// probePause is the time between two tries of a router to let a request through. The
	// policy shows by then whether another router has.
	probePause = 3 * time.Second
)

// Probe reports whether a request with these subjects is let through although one of them
// is in quarantine. The caller must send it once at most. Of all routers one
// gets the store's consent.
func (li *List) Probe(ctx context.Context, now time.Time, sus []policy.Subject) bool {
	su, ok := li.onlyRefused(now, sus)
	if !ok {
		return false
	}
	se, id := li.holder.Set(), policy.QuarantineIDOf(su)
	qu, known := se.Quarantines.ByID(id)
	if !known || qu.ProbeAtMs == 0 || now.Before(time.UnixMilli(qu.ProbeAtMs)) || !li.tryProbe(now, su) {
		return false
	}
	_, revision, _ := se.Record(policy.KindQuarantine, string(id))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	applied, err := li.recorder.Replace(ctx, probed(now, qu.Quarantine), revision)
	if err != nil {
		li.log.WarnLimited(event.StoreUnreachable, err, event.Fields{"subject": su})
		return false
	}
	if applied {
		li.log.Info(event.QuarantineProbed, event.Fields{"subject": su, "probes": qu.Probes + 1})
	}
	return applied
}

// onlyRefused returns the subject that is refused, and false if there are none or several.
func (li *List) onlyRefused(now time.Time, sus []policy.Subject) (policy.Subject, bool) {
	var found policy.Subject
	count := 0
	for _, su := range sus {
		if _, ok := li.Refuses(now, []policy.Subject{su}); ok {
			found = su
			count++
		}
	}
	return found, count == 1
}

// tryProbe reports whether this router may try now to let a request through, and notes
// that it does.
func (li *List) tryProbe(now time.Time, su policy.Subject) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if at, ok := li.triedProbeAt[su]; ok && now.Sub(at) < probePause {
		return false
	}
	li.triedProbeAt[su] = now
	return true
}

// probed returns a quarantine after one more probe. It lasts anew.
func probed(now time.Time, qu *rpc.Quarantine) *rpc.Quarantine {
	next := proto.CloneOf(qu)
	next.UntilMs = now.Add(Duration).UnixMilli()
	next.Probes++
	next.ProbeAtMs = 0
	if int(next.GetProbes()) < len(probeDelays) {
		next.ProbeAtMs = now.Add(probeDelays[next.GetProbes()]).UnixMilli()
	}
	return next
}
