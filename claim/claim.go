// Package claim lets a call that may not be repeated run at most once.
//
// Before its first byte leaves, a call is claimed in the store by a create-only
// write that carries an operation id. Whoever finds another's claim does not
// run the call: it gives the kept answer, or says that the call is under way,
// or that its outcome is unknown. The states and transitions are those of
// spec/claim.pml.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/worker"
)

// State is the state of a claim.
type State string

// The states. A claimed call may have run; a finished one did; a released one
// did not and never will under that claim.
const (
	Claimed  State = "claimed"
	Finished State = "finished"
	Released State = "released"
)

const (
	// retention is how long claims and kept answers stay in the store.
	retention = 24 * time.Hour
	// leaseRenewal is how long one lease is given to new claims.
	leaseRenewal = time.Hour
	// maxBatch is how many claims go into one call of the store.
	maxBatch = 60
	// maxAnswerBytes bounds an answer that is kept.
	maxAnswerBytes = 64 << 10
	// resolveWait is the time between tries to learn a lost answer.
	resolveWait = 50 * time.Millisecond
	// releaseWait is the time between tries to release a claim.
	releaseWait = time.Second
)

// Errors of Claim. None of them means that the call may have been run by it.
var (
	// ErrUnavailable: the store cannot take claims now.
	ErrUnavailable = eris.New("claim: store unavailable")
	// ErrMismatch: the key was used for another call.
	ErrMismatch = eris.New("claim: key was used for a different call")
)

// Key identifies a call: its organisation, service and idempotency key.
type Key struct {
	Organisation policy.OrganisationID
	Service      policy.ServiceID
	Idempotency  string
}

// Fingerprint is a hash of a call's method, path and body.
type Fingerprint string

// NewFingerprint hashes a call.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	ha := sha256.New()
	_, _ = ha.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = ha.Write(body)
	return Fingerprint(hex.EncodeToString(ha.Sum(nil)))
}

// Answer is a finished call's answer, as it is kept.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Kept is false when the body was too large to keep.
	Kept   bool   `json:"kept"`
	BillID string `json:"bill_id"`
}

// Record is a claim as it is stored.
type Record struct {
	State       State       `json:"state"`
	OperationID string      `json:"operation_id"`
	Incarnation string      `json:"incarnation"`
	Fingerprint Fingerprint `json:"fingerprint"`
	DeadlineMS  int64       `json:"deadline_ms"`
	Answer      *Answer     `json:"answer,omitempty"`
}

// Underway tells whether the call may still be running at a time.
func (re Record) Underway(now time.Time) bool {
	return re.State == Claimed && now.UnixMilli() < re.DeadlineMS
}

// Hold is a claim that this process owns.
type Hold struct {
	key      store.Key
	revision store.Revision
	record   Record
}

// Claimer makes claims.
//
// mu guards the lease. No other lock is taken while it is held.
type Claimer struct {
	prefix      store.Key
	store       store.Store
	incarnation string
	log         *event.Log
	group       *worker.Group
	queue       chan *commit

	mu        sync.Mutex
	lease     store.LeaseID
	renewLate time.Time
}

// commit is one claim's write, waiting for a call of the store.
type commit struct {
	commit store.Commit
	done   chan result
}

type result struct {
	outcome store.Outcome
	err     error
}

// NewClaimer gives a claimer; Close ends it.
func NewClaimer(prefix store.Key, st store.Store, incarnation string, lo *event.Log) *Claimer {
	cl := &Claimer{
		prefix: prefix + "claim/", store: st, incarnation: incarnation, log: lo,
		group: worker.NewGroup(), queue: make(chan *commit),
	}
	cl.group.Go(cl.batch)
	return cl
}

// Close ends the claimer's goroutines and waits for them.
func (cl *Claimer) Close() { cl.group.Close() }

func (cl *Claimer) storeKey(ke Key) store.Key {
	sum := sha256.Sum256([]byte(string(ke.Service) + "\x00" + ke.Idempotency))
	return cl.prefix + store.Key(string(ke.Organisation)+"/"+hex.EncodeToString(sum[:]))
}

// Claim claims a call. Either it gives a hold, or the record of whoever has
// the claim, or an error; in the last two cases the call must not be run.
func (cl *Claimer) Claim(ctx context.Context, ke Key, fp Fingerprint, deadline time.Time) (*Hold, Record, error) {
	lease, err := cl.currentLease(ctx)
	if err != nil {
		return nil, Record{}, errors.Join(ErrUnavailable, err)
	}
	ho := &Hold{key: cl.storeKey(ke), record: Record{
		State: Claimed, OperationID: ulid.Make().String(), Incarnation: cl.incarnation,
		Fingerprint: fp, DeadlineMS: deadline.UnixMilli(),
	}}
	compare := store.Revision(0)
	for {
		ou, err := cl.resolve(ctx, ho, compare, lease)
		if err != nil {
			return nil, Record{}, errors.Join(ErrUnavailable, err)
		}
		if ou.Applied {
			ho.revision = ou.Revision
			return ho, Record{}, nil
		}
		found, revision, err := find(ou.Found)
		switch {
		case err != nil:
			return nil, Record{}, errors.Join(ErrUnavailable, err)
		case revision == 0:
			// A released claim's lease ended between two tries.
			compare = 0
		case found.OperationID == ho.record.OperationID && found.State == Claimed:
			ho.revision = revision
			return ho, Record{}, nil
		case found.Fingerprint != fp:
			return nil, found, eris.Wrap(ErrMismatch, "Claimer.Claim")
		case found.State != Released:
			return nil, found, nil
		default:
			compare = revision
		}
	}
}

// resolve writes a claim, and while its answer is lost writes it again. The
// write is create-only, so it takes effect once. When the answer stays lost
// the claim is released in the background, since nothing was sent under it.
func (cl *Claimer) resolve(ctx context.Context, ho *Hold, compare store.Revision, lease store.LeaseID) (store.Outcome, error) {
	co := ho.write(ho.record, compare, lease)
	unknown := false
	for {
		re := cl.submit(ctx, co)
		if re.err == nil {
			return re.outcome, nil
		}
		if !unknown && !errors.Is(re.err, store.ErrOutcomeUnknown) && ctx.Err() == nil {
			return store.Outcome{}, re.err
		}
		unknown = true
		if !worker.Sleep(ctx, resolveWait) {
			cl.log.Warn(event.ClaimUnresolved, re.err, event.Fields{"key": ho.key})
			cl.group.Go(func(ctx context.Context) { cl.release(ctx, ho, compare, lease) })
			return store.Outcome{}, re.err
		}
	}
}

func (ho *Hold) write(re Record, compare store.Revision, lease store.LeaseID) store.Commit {
	value, err := json.Marshal(re)
	if err != nil {
		value = nil
	}
	return store.Commit{
		Compares: []store.Compare{{Key: ho.key, ModRevision: compare}},
		Puts:     []store.Put{{Key: ho.key, Value: value, Lease: lease}},
	}
}

func find(kvs []store.KeyValue) (Record, store.Revision, error) {
	if len(kvs) == 0 {
		return Record{}, 0, nil
	}
	var re Record
	if err := json.Unmarshal(kvs[0].Value, &re); err != nil {
		return Record{}, 0, eris.Wrap(err, "claim: record in the store")
	}
	return re, kvs[0].ModRevision, nil
}

// Finish keeps a call's answer. It must be called once the endpoint answered;
// an error leaves the call's outcome unknown to repeats.
func (cl *Claimer) Finish(ctx context.Context, ho *Hold, an Answer) error {
	re := ho.record
	re.State, re.Answer = Finished, &an
	an.Kept = len(an.Body) <= maxAnswerBytes
	if !an.Kept {
		an.Body = nil
	}
	return eris.Wrap(cl.settle(ctx, ho, re), "Claimer.Finish")
}

// Release gives back a claim under which nothing was sent, so that a repeat
// may run. It returns at once and goes on in the background.
func (cl *Claimer) Release(ho *Hold) {
	cl.group.Go(func(ctx context.Context) {
		re := ho.record
		re.State = Released
		for ctx.Err() == nil {
			if cl.settle(ctx, ho, re) == nil {
				cl.log.Info(event.ClaimReleased, event.Fields{"key": ho.key})
				return
			}
			worker.Sleep(ctx, releaseWait)
		}
	})
}

// settle moves an owned claim to its last state, resolving lost answers.
func (cl *Claimer) settle(ctx context.Context, ho *Hold, re Record) error {
	lease, err := cl.currentLease(ctx)
	if err != nil {
		return err
	}
	co := ho.write(re, ho.revision, lease)
	for {
		rs := cl.submit(ctx, co)
		if rs.err == nil {
			return settled(rs.outcome, re)
		}
		if !worker.Sleep(ctx, resolveWait) {
			return rs.err
		}
	}
}

func settled(ou store.Outcome, re Record) error {
	if ou.Applied {
		return nil
	}
	found, _, err := find(ou.Found)
	if err != nil {
		return err
	}
	if found.OperationID == re.OperationID && found.State == re.State {
		return nil
	}
	return eris.Errorf("claim is %q under operation %q", found.State, found.OperationID)
}

// release ends a claim whose own write may or may not have taken effect, or
// may yet. A released record in its place keeps a late write from succeeding.
func (cl *Claimer) release(ctx context.Context, ho *Hold, compare store.Revision, lease store.LeaseID) {
	re := ho.record
	re.State = Released
	for ctx.Err() == nil {
		rs := cl.submit(ctx, ho.write(re, compare, lease))
		if rs.err == nil {
			found, revision, err := find(rs.outcome.Found)
			mine := err == nil && found.OperationID == re.OperationID
			if rs.outcome.Applied || !mine || found.State != Claimed {
				cl.log.Info(event.ClaimReleased, event.Fields{"key": ho.key})
				return
			}
			compare = revision
			continue
		}
		worker.Sleep(ctx, releaseWait)
	}
}

func (cl *Claimer) currentLease(ctx context.Context) (store.LeaseID, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.lease != 0 && time.Now().Before(cl.renewLate) {
		return cl.lease, nil
	}
	id, err := cl.store.Grant(ctx, retention)
	if err != nil {
		return 0, err
	}
	cl.lease, cl.renewLate = id, time.Now().Add(leaseRenewal)
	return id, nil
}
