package router

import (
	"context"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/platform"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quarantine"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// quarantineRecorder keeps quarantines in the store. It implements quarantine.Recorder.
type quarantineRecorder struct {
	store  store.Store
	layout *platform.Layout
}

// Record implements quarantine.Recorder. The quarantine ends with a lease.
func (qr quarantineRecorder) Record(ctx context.Context, qu *rpc.Quarantine) error {
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
func (qr quarantineRecorder) Replace(ctx context.Context, qu *rpc.Quarantine, revision store.Revision) (bool, error) {
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
func (qr quarantineRecorder) Remove(ctx context.Context, su policy.Subject) error {
	_, err := qr.store.Apply(ctx, qr.layout.QuarantineEnd(su))
	return eris.Wrap(err, "quarantineRecorder.Remove")
}
