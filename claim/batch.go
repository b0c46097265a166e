package claim

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/store"
)

// submit queues a write for the next batch and blocks until its result. The error
// is store.ErrUnavailable when ctx ended or the claimer was closed before the
// write was queued, and store.ErrOutcomeUnknown when ctx ended afterwards.
func (cl *Claimer) submit(ctx context.Context, co store.Commit) result {
	pc := &pendingCommit{commit: co, done: make(chan result, 1)}
	select {
	case cl.queue <- pc:
	case <-ctx.Done():
		return result{err: errors.Join(store.ErrUnavailable, ctx.Err())}
	case <-cl.group.Context().Done():
		return result{err: eris.Wrap(store.ErrUnavailable, "Claimer is closed")}
	}
	select {
	case re := <-pc.done:
		return re
	case <-ctx.Done():
		return result{err: errors.Join(store.ErrOutcomeUnknown, ctx.Err())}
	}
}

// runBatches sends writes to the store in batches, one batch at a time. A batch
// holds the writes that were queued while the last one was being applied. Writes
// of the same key go into separate batches.
func (cl *Claimer) runBatches(ctx context.Context) {
	var waiting []*pendingCommit
	for {
		if len(waiting) == 0 {
			select {
			case pc := <-cl.queue:
				waiting = append(waiting, pc)
			case <-ctx.Done():
				return
			}
		}
		waiting = cl.collect(waiting)
		var batch []*pendingCommit
		batch, waiting = firstByKey(waiting)
		cl.applyBatch(ctx, batch)
		if ctx.Err() != nil {
			return
		}
	}
}

// collect appends queued writes until there are maxBatch. It does not wait for
// more to be queued.
func (cl *Claimer) collect(waiting []*pendingCommit) []*pendingCommit {
	for len(waiting) < maxBatch {
		select {
		case pc := <-cl.queue:
			waiting = append(waiting, pc)
		default:
			return waiting
		}
	}
	return waiting
}

// firstByKey returns the first write of each key, and the rest, which wait for
// the next batch.
func firstByKey(all []*pendingCommit) (batch, rest []*pendingCommit) {
	var keys []store.Key
	for _, pc := range all {
		key := pc.commit.Puts[0].Key
		if slices.Contains(keys, key) {
			rest = append(rest, pc)
			continue
		}
		keys = append(keys, key)
		batch = append(batch, pc)
	}
	return batch, rest
}

// applyBatch applies the writes in one request to the store, and sends each its
// result.
func (cl *Claimer) applyBatch(ctx context.Context, pcs []*pendingCommit) {
	cos := make([]store.Commit, len(pcs))
	for i, pc := range pcs {
		cos[i] = pc.commit
	}
	ous, err := cl.store.ApplyEach(ctx, cos)
	for i, pc := range pcs {
		if err != nil {
			pc.done <- result{err: err}
			continue
		}
		pc.done <- result{outcome: ous[i]}
	}
}
