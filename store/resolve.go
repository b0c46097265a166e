package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/worker"
)

const (
	initialResolveBackoff = 20 * time.Millisecond
	maxResolveBackoff     = 500 * time.Millisecond
)

// ApplyResolved applies a commit. If the outcome is unknown, it applies the same
// commit again, with exponential backoff, until it gets an answer or ctx is done.
// The commit must compare a key that it writes, so that at most one of the attempts
// can take effect. If a later attempt is not applied, isOwn is called with
// Outcome.Found and reports whether these pairs show that an earlier attempt took
// effect; the outcome's Applied is then set.
//
// The error is ErrUnavailable if no attempt can have taken effect, and
// ErrOutcomeUnknown if one may have.
func ApplyResolved(ctx context.Context, st Store, co Commit, isOwn func(found []KeyValue) bool) (Outcome, error) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = initialResolveBackoff, maxResolveBackoff
	outcomeUnknown := false
	for {
		ou, err := st.Apply(ctx, co)
		if err == nil {
			if !ou.Applied && outcomeUnknown && isOwn(ou.Found) {
				ou.Applied = true
			}
			return ou, nil
		}
		if !errors.Is(err, ErrOutcomeUnknown) && !outcomeUnknown {
			return Outcome{}, err
		}
		outcomeUnknown = true
		if !worker.Sleep(ctx, bo.NextBackOff()) {
			return Outcome{}, eris.Wrap(errors.Join(ErrOutcomeUnknown, err), "ApplyResolved")
		}
	}
}
