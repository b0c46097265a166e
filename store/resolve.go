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

// ApplyResolved makes a commit and, when its answer is lost, makes the same
// commit again until an answer comes or ctx ends. The commit must compare a
// key that it writes, so that only one of the tries can take effect; own tells
// whether the pairs found by a refused try show that an earlier one did.
//
// The error is ErrUnavailable when no try can have taken effect, ErrUnknown
// when one may have.
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
