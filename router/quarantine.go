package router

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/platform"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quarantine"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// quarantineRecorder keeps quarantines, and the evidence for them, in the store. It implements
// quarantine.Recorder.
type quarantineRecorder struct {
	store  store.Store
	layout *platform.Layout

	mu sync.Mutex
	// lease is that of evidence that was saved last, and renewAt is when the next one is granted.
	lease   store.LeaseID
	renewAt time.Time
}

// leaseUse is how long a lease is used for evidence. What is saved last lasts for the rest of it.
const leaseUse = quarantine.Duration / 2

// Record implements quarantine.Recorder. The quarantine ends with a lease.
func (qr *quarantineRecorder) Record(ctx context.Context, qu *rpc.Quarantine) error {
	lease, err := qr.store.Grant(ctx, quarantine.Duration)
	if err != nil {
		return eris.Wrap(err, "quarantineRecorder.Record")
	}
	co, err := qr.layout.QuarantineCommit(qu, lease)
	if err == nil {
		// If it is not applied, another router has set the same quarantine. If the
		// outcome is unknown, trying again is harmless.
		_, err = qr.store.Apply(ctx, co)
	}
	return eris.Wrap(err, "quarantineRecorder.Record")
}

// Replace implements quarantine.Recorder. Without an answer of the store it returns an
// error, although the store may have replaced the quarantine.
func (qr *quarantineRecorder) Replace(ctx context.Context, qu *rpc.Quarantine, revision store.Revision) (bool, error) {
	lease, err := qr.store.Grant(ctx, quarantine.Duration)
	if err != nil {
		return false, eris.Wrap(err, "quarantineRecorder.Replace")
	}
	co, err := qr.layout.QuarantineReplacement(qu, lease, revision)
	if err != nil {
		return false, eris.Wrap(err, "quarantineRecorder.Replace")
	}
	ou, err := qr.store.Apply(ctx, co)
	return ou.Applied, eris.Wrap(err, "quarantineRecorder.Replace")
}

// Remove implements quarantine.Recorder.
func (qr *quarantineRecorder) Remove(ctx context.Context, su policy.Subject, revision store.Revision) (bool, error) {
	ou, err := qr.store.Apply(ctx, qr.layout.QuarantineEnd(su, revision))
	return ou.Applied, eris.Wrap(err, "quarantineRecorder.Remove")
}

// LoadEvidence implements quarantine.Keeper. Evidence that cannot be read counts as none.
func (qr *quarantineRecorder) LoadEvidence(ctx context.Context, id policy.ServiceID) (*rpc.CrashEvidence, store.Revision, error) {
	rr, err := qr.store.Get(ctx, qr.layout.EvidenceKey(id))
	if err != nil || len(rr.KeyValues) == 0 {
		return &rpc.CrashEvidence{}, 0, eris.Wrap(err, "quarantineRecorder.LoadEvidence")
	}
	return qr.layout.Evidence(id, rr.KeyValues[0]), rr.KeyValues[0].ModRevision, nil
}

// SaveEvidence implements quarantine.Keeper.
func (qr *quarantineRecorder) SaveEvidence(ctx context.Context, ev *rpc.CrashEvidence, revision store.Revision) (store.Revision, bool, error) {
	lease, err := qr.evidenceLease(ctx)
	if err != nil {
		return 0, false, eris.Wrap(err, "quarantineRecorder.SaveEvidence")
	}
	co, err := qr.layout.EvidenceCommit(ev, lease, revision)
	if err != nil {
		return 0, false, eris.Wrap(err, "quarantineRecorder.SaveEvidence")
	}
	ou, err := qr.store.Apply(ctx, co)
	if ctx.Err() == nil && (err != nil || !ou.Applied) {
		// The lease may have ended, as in a store that was restored. A slow store would get no further
		// than to grant another one.
		qr.setLease(store.LeaseID{}, time.Time{})
	}
	return ou.Revision, ou.Applied, eris.Wrap(err, "quarantineRecorder.SaveEvidence")
}

// evidenceLease returns the lease of evidence that is saved now. Two may be granted at the same time:
// each is good.
func (qr *quarantineRecorder) evidenceLease(ctx context.Context) (store.LeaseID, error) {
	now := time.Now()
	qr.mu.Lock()
	lease, renewAt := qr.lease, qr.renewAt
	qr.mu.Unlock()
	if now.Before(renewAt) {
		return lease, nil
	}
	lease, err := qr.store.Grant(ctx, quarantine.Duration)
	if err == nil {
		qr.setLease(lease, now.Add(leaseUse))
	}
	return lease, err
}

func (qr *quarantineRecorder) setLease(lease store.LeaseID, renewAt time.Time) {
	qr.mu.Lock()
	defer qr.mu.Unlock()
	qr.lease, qr.renewAt = lease, renewAt
}
