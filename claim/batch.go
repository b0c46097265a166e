package claim

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/store"
)

// submit hands a write to the next call of the store and waits for its result.
func (cl *Claimer) submit(ctx context.Context, co store.Commit) result {
	cm := &commit{commit: co, done: make(chan result, 1)}
	select {
	case cl.queue <- cm:
	case <-ctx.Done():
		return result{err: errors.Join(store.ErrUnavailable, ctx.Err())}
	case <-cl.group.Context().Done():
		return result{err: eris.Wrap(store.ErrUnavailable, "Claimer is closed")}
	}
	select {
	case re := <-cm.done:
		return re
	case <-ctx.Done():
		return result{err: errors.Join(store.ErrOutcomeUnknown, ctx.Err())}
	}
}

// batch makes one call of the store at a time, with all writes that came
// while the last was under way. Writes of one key go into separate calls.
func (cl *Claimer) batch(ctx context.Context) {
	var waiting []*commit
	for {
		if len(waiting) == 0 {
			select {
			case cm := <-cl.queue:
				waiting = append(waiting, cm)
			case <-ctx.Done():
				return
			}
		}
		waiting = cl.drain(waiting)
		var now []*commit
		now, waiting = split(waiting)
		cl.call(ctx, now)
		if ctx.Err() != nil {
			return
		}
	}
}

func (cl *Claimer) drain(waiting []*commit) []*commit {
	for len(waiting) < maxBatch {
		select {
		case cm := <-cl.queue:
			waiting = append(waiting, cm)
		default:
			return waiting
		}
	}
	return waiting
}

// split takes the first write of each key; the others wait.
func split(all []*commit) (now, later []*commit) {
	var keys []store.Key
	for _, cm := range all {
		key := cm.commit.Puts[0].Key
		if slices.Contains(keys, key) {
			later = append(later, cm)
			continue
		}
		keys = append(keys, key)
		now = append(now, cm)
	}
	return now, later
}

func (cl *Claimer) call(ctx context.Context, cms []*commit) {
	cos := make([]store.Commit, len(cms))
	for i, cm := range cms {
		cos[i] = cm.commit
	}
	ous, err := cl.store.ApplyEach(ctx, cos)
	for i, cm := range cms {
		if err != nil {
			cm.done <- result{err: err}
			continue
		}
		cm.done <- result{outcome: ous[i]}
	}
}
