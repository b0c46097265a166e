// Package claim gives at-most-once execution to calls that may not be repeated.
//
// Before its first byte is sent, a call is claimed in the store by a create-only
// write that carries an operation id. An entry that finds another claim for the
// call does not run it. It returns the kept answer, or an error saying that the
// call is under way or that its outcome is unknown. The states and transitions
// are modelled in spec/claim.pml.
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

// States of a claim. A claimed call may have been run. A finished call was run.
// A released call was not run and never will be under that claim.
const (
	Claimed  State = "claimed"
	Finished State = "finished"
	Released State = "released"
)

const (
	// retention is how long claims and kept answers stay in the store: the time to
	// live of their leases.
	retention = 24 * time.Hour
	// leaseReplaceInterval is how long new claims and kept answers share one
	// lease before later ones get a new lease.
	leaseReplaceInterval = time.Hour
	// maxBatch is the maximum number of writes in one request to the store.
	maxBatch = 60
	// maxAnswerBytes is the size of the largest body that is kept.
	maxAnswerBytes = 64 << 10
	// resolveWait is the delay before a write whose outcome is unknown is retried.
	resolveWait = 50 * time.Millisecond
	// releaseWait is the delay before a failed release is retried.
	releaseWait = time.Second
)

// Errors of Claim. With either of them the call was not claimed for the caller,
// which has not run it and must not run it.
var (
	// ErrUnavailable means that the store cannot write claims now.
	ErrUnavailable = eris.New("claim: store unavailable")
	// ErrMismatch means that the idempotency key was used for a different call.
	ErrMismatch = eris.New("claim: key was used for a different call")
)

// Key identifies a call: its organisation, service and idempotency key.
type Key struct {
	Organisation policy.OrganisationID
	Service      policy.ServiceID
	Idempotency  string
}

// Fingerprint is the hash of a call's method, path and body, in hexadecimal.
type Fingerprint string

// NewFingerprint returns the fingerprint of a call.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	ha := sha256.New()
	_, _ = ha.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = ha.Write(body)
	return Fingerprint(hex.EncodeToString(ha.Sum(nil)))
}

// Answer is the answer of a finished call, as the store keeps it for repeats.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Kept is false when the body was too large to keep.
	Kept   bool   `json:"kept"`
	BillID string `json:"bill_id"`
}

// Record is the stored value of a claim. DeadlineMS is the call's deadline in
// milliseconds of Unix time.
type Record struct {
	State       State       `json:"state"`
	OperationID string      `json:"operation_id"`
	Incarnation string      `json:"incarnation"`
	Fingerprint Fingerprint `json:"fingerprint"`
	DeadlineMS  int64       `json:"deadline_ms"`
	Answer      *Answer     `json:"answer,omitempty"`
}

// Underway reports whether the call may still be running at the time now.
func (re Record) Underway(now time.Time) bool {
	return re.State == Claimed && now.UnixMilli() < re.DeadlineMS
}

// Hold is a claim that this process owns.
type Hold struct {
	key      store.Key
	revision store.Revision
	record   Record
}

// Claimer claims calls for one process.
//
// mu guards the lease and the time at which it is replaced. No other lock is taken
// while it is held.
type Claimer struct {
	prefix      store.Key
	store       store.Store
	incarnation string
	log         *event.Log
	group       *worker.Group
	queue       chan *pendingCommit

	mu        sync.Mutex
	lease     store.LeaseID
	replaceAt time.Time
}

// pendingCommit is the write of one claim that waits for the next batch.
type pendingCommit struct {
	commit store.Commit
	done   chan result
}

type result struct {
	outcome store.Outcome
	err     error
}

// NewClaimer returns a claimer and starts its goroutine, which Close stops.
func NewClaimer(prefix store.Key, st store.Store, incarnation string, lo *event.Log) *Claimer {
	cl := &Claimer{
		prefix: prefix + "claim/", store: st, incarnation: incarnation, log: lo,
		group: worker.NewGroup(), queue: make(chan *pendingCommit),
	}
	cl.group.Go(cl.runBatches)
	return cl
}

// Close stops the claimer's goroutines and blocks until they have ended.
func (cl *Claimer) Close() { cl.group.Close() }

func (cl *Claimer) storeKey(ke Key) store.Key {
	sum := sha256.Sum256([]byte(string(ke.Service) + "\x00" + ke.Idempotency))
	return cl.prefix + store.Key(string(ke.Organisation)+"/"+hex.EncodeToString(sum[:]))
}

// Claim claims a call. It returns a hold, the record of an existing claim, or an
// error; with ErrMismatch it returns the existing record too. Without a hold the
// call must not be run.
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
		ou, err := cl.writeClaim(ctx, ho, compare, lease)
		if err != nil {
			return nil, Record{}, errors.Join(ErrUnavailable, err)
		}
		if ou.Applied {
			ho.revision = ou.Revision
			return ho, Record{}, nil
		}
		found, revision, err := decodeFound(ou.Found)
		switch {
		case err != nil:
			return nil, Record{}, errors.Join(ErrUnavailable, err)
		case revision == 0:
			// The released claim, whose revision was compared, has expired in the
			// meantime.
			compare = 0
		case found.OperationID == ho.record.OperationID && found.State == Claimed:
			// An earlier try of this write, whose outcome was unknown, took effect.
			ho.revision = revision
			return ho, Record{}, nil
		case found.Fingerprint != fp:
			return nil, found, eris.Wrap(ErrMismatch, "Claimer.Claim")
		case found.State != Released:
			return nil, found, nil
		default:
			// A released claim of the same call is replaced.
			compare = revision
		}
	}
}

// writeClaim writes a claim, and writes it again while the outcome is unknown.
// The write is conditional on the key's revision, so it takes effect only once.
// If the outcome is still unknown when ctx ends, the claim is released in the
// background, since the call was not sent under it.
func (cl *Claimer) writeClaim(ctx context.Context, ho *Hold, compare store.Revision, lease store.LeaseID) (store.Outcome, error) {
	co := ho.commit(ho.record, compare, lease)
	unknown := false
	for {
		re := cl.submit(ctx, co)
		if re.err == nil {
			return re.outcome, nil
		}
		if !unknown && !errors.Is(re.err, store.ErrOutcomeUnknown) && ctx.Err() == nil {
			return store.Outcome{}, re.err
		}
		// From now on no error shows that the claim was not written.
		unknown = true
		if !worker.Sleep(ctx, resolveWait) {
			cl.log.Warn(event.ClaimUnresolved, re.err, event.Fields{"key": ho.key})
			cl.group.Go(func(ctx context.Context) { cl.releaseUnresolved(ctx, ho, compare, lease) })
			return store.Outcome{}, re.err
		}
	}
}

// commit returns the write of a record under the hold's key, on condition that
// the key has the revision compare. A compare of 0 means that the key must not
// exist.
func (ho *Hold) commit(re Record, compare store.Revision, lease store.LeaseID) store.Commit {
	value, err := json.Marshal(re)
	if err != nil {
		value = nil
	}
	return store.Commit{
		Compares: []store.Compare{{Key: ho.key, ModRevision: compare}},
		Puts:     []store.Put{{Key: ho.key, Value: value, Lease: lease}},
	}
}

// decodeFound decodes what the store returned for a write whose condition failed.
// It returns the record and its revision, which is 0 when the key does not exist.
func decodeFound(kvs []store.KeyValue) (Record, store.Revision, error) {
	if len(kvs) == 0 {
		return Record{}, 0, nil
	}
	var re Record
	if err := json.Unmarshal(kvs[0].Value, &re); err != nil {
		return Record{}, 0, eris.Wrap(err, "claim: decode the record in the store")
	}
	return re, kvs[0].ModRevision, nil
}

// Finish stores a call's answer for repeats of the call. The caller must call it
// when the endpoint has answered. After an error, repeats find the call's outcome
// unknown.
func (cl *Claimer) Finish(ctx context.Context, ho *Hold, an Answer) error {
	re := ho.record
	re.State, re.Answer = Finished, &an
	an.Kept = len(an.Body) <= maxAnswerBytes
	if !an.Kept {
		an.Body = nil
	}
	return eris.Wrap(cl.finalise(ctx, ho, re), "Claimer.Finish")
}

// Release releases a claim under which nothing was sent, so that a repeat of the
// call may run. It returns at once and retries in the background until it
// succeeds or the claimer is closed.
func (cl *Claimer) Release(ho *Hold) {
	cl.group.Go(func(ctx context.Context) {
		re := ho.record
		re.State = Released
		for ctx.Err() == nil {
			if cl.finalise(ctx, ho, re) == nil {
				cl.log.Info(event.ClaimReleased, event.Fields{"key": ho.key})
				return
			}
			worker.Sleep(ctx, releaseWait)
		}
	})
}

// finalise writes the final state of an owned claim, and writes it again after
// an error until ctx ends.
func (cl *Claimer) finalise(ctx context.Context, ho *Hold, re Record) error {
	lease, err := cl.currentLease(ctx)
	if err != nil {
		return err
	}
	co := ho.commit(re, ho.revision, lease)
	for {
		rs := cl.submit(ctx, co)
		if rs.err == nil {
			return checkFinalised(rs.outcome, re)
		}
		if !worker.Sleep(ctx, resolveWait) {
			return rs.err
		}
	}
}

// checkFinalised returns an error unless the claim has the state of the record,
// by this write or by an earlier one whose outcome was unknown.
func checkFinalised(ou store.Outcome, re Record) error {
	if ou.Applied {
		return nil
	}
	found, _, err := decodeFound(ou.Found)
	if err != nil {
		return err
	}
	if found.OperationID == re.OperationID && found.State == re.State {
		return nil
	}
	return eris.Errorf("claim: final state was not written: the store has state %q of operation %q instead", found.State, found.OperationID)
}

// releaseUnresolved releases a claim whose write may have taken effect, or may
// still do so. The released record changes the key's revision, so that a delayed
// write of the claim fails.
func (cl *Claimer) releaseUnresolved(ctx context.Context, ho *Hold, compare store.Revision, lease store.LeaseID) {
	re := ho.record
	re.State = Released
	for ctx.Err() == nil {
		rs := cl.submit(ctx, ho.commit(re, compare, lease))
		if rs.err == nil {
			found, revision, err := decodeFound(rs.outcome.Found)
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

// currentLease returns the lease for new writes, and requests a new one from the
// store every leaseReplaceInterval.
func (cl *Claimer) currentLease(ctx context.Context) (store.LeaseID, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !cl.lease.IsZero() && time.Now().Before(cl.replaceAt) {
		return cl.lease, nil
	}
	id, err := cl.store.Grant(ctx, retention)
	if err != nil {
		return store.LeaseID{}, err
	}
	cl.lease, cl.replaceAt = id, time.Now().Add(leaseReplaceInterval)
	return id, nil
}
