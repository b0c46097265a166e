package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/rpc"
)

// maxResponseBytes is the largest response that call reads.
const maxResponseBytes = 64 << 20

// idleConnTimeout is how long an idle pooled connection may be reused, as in package
// network: after that, a device on the path, such as a firewall or NAT, may have
// dropped its state.
const idleConnTimeout = 3 * time.Second

// Options configure a Client.
type Options struct {
	// URLs are the base URLs of the store's servers. There must be at least one.
	URLs []string
	// Timeout limits each call except Watch.
	Timeout time.Duration
	// WatchProgress is how long a watch may receive nothing, neither changes nor
	// progress notifications, before it fails.
	WatchProgress time.Duration
	// Dial opens connections. If it is nil, net/http opens them; tests set it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// OptionsOf returns the options given by a daemon's settings.
func OptionsOf(se *rpc.StoreSection, dial func(ctx context.Context, network, address string) (net.Conn, error)) Options {
	return Options{
		URLs: se.GetUrls(), Timeout: se.GetTimeout().AsDuration(),
		WatchProgress: se.GetWatchProgress().AsDuration(), Dial: dial,
	}
}

// Client implements Store over HTTP. It is safe for concurrent use.
type Client struct {
	opt  Options
	http *http.Client
	// urlIndex, modulo the number of URLs, selects the URL of the next call. It is
	// incremented when a call fails.
	urlIndex atomic.Uint64
	calls    atomic.Int64
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It opens no connection before the first call.
func NewClient(opt Options) *Client {
	tr := &http.Transport{
		DialContext:         opt.Dial,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{opt: opt, http: &http.Client{Transport: tr}}
}

// Close closes the idle pooled connections.
func (cl *Client) Close() { cl.http.CloseIdleConnections() }

// Calls returns the number of calls made so far, watches included.
func (cl *Client) Calls() int64 { return cl.calls.Load() }

func (cl *Client) url(path string) string {
	return cl.opt.URLs[cl.urlIndex.Load()%uint64(len(cl.opt.URLs))] + path
}

// send posts ms as JSON and returns the response if its status is 200. The body of
// the response must be closed. The boolean reports whether the store may have
// received the message: it is true as soon as a connection was obtained.
func (cl *Client) send(ctx context.Context, path string, ms any) (*http.Response, bool, error) {
	bd, err := json.Marshal(ms)
	if err != nil {
		return nil, false, eris.Wrap(err, "Client.send")
	}
	cl.calls.Add(1)
	var sent atomic.Bool
	tc := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	rq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, tc), http.MethodPost, cl.url(path), bytes.NewReader(bd))
	if err != nil {
		return nil, false, eris.Wrap(err, "Client.send")
	}
	// Without GetBody, net/http cannot send the request a second time. A commit sent
	// twice could be applied twice.
	rq.GetBody = nil
	rs, err := cl.http.Do(rq)
	if err != nil {
		cl.urlIndex.Add(1)
		return nil, sent.Load(), err
	}
	if rs.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
		_ = rs.Body.Close()
		cl.urlIndex.Add(1)
		return nil, sent.Load(), eris.Errorf("%s returned status %s: %s", path, rs.Status, text)
	}
	return rs, true, nil
}

// call posts ms and decodes the response into answer, within Options.Timeout. The
// boolean is that of send.
func (cl *Client) call(ctx context.Context, path string, ms, answer any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.opt.Timeout)
	defer cancel()
	rs, sent, err := cl.send(ctx, path, ms)
	if err != nil {
		return sent, err
	}
	defer func() { _ = rs.Body.Close() }()
	return true, json.NewDecoder(io.LimitReader(rs.Body, maxResponseBytes)).Decode(answer)
}

func (cl *Client) read(ctx context.Context, op string, rg WireRange) (ReadResult, error) {
	var rs WireRangeResponse
	if _, err := cl.call(ctx, "/v3/kv/range", rg, &rs); err != nil {
		return ReadResult{}, eris.Wrapf(errors.Join(ErrUnavailable, err), "Client.%s", op)
	}
	return ReadResult{Revision: Revision(rs.Header.Revision), KeyValues: keyValuesFromWire(rs.Kvs)}, nil
}

// Range implements Store.
func (cl *Client) Range(ctx context.Context, prefix Key) (ReadResult, error) {
	return cl.read(ctx, "Range", WireRange{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)})
}

// RangeStale implements Store by a serializable read, which one member of the cluster answers
// alone.
func (cl *Client) RangeStale(ctx context.Context, prefix Key) (ReadResult, error) {
	return cl.read(ctx, "RangeStale", WireRange{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), Serializable: true})
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key Key) (ReadResult, error) {
	return cl.read(ctx, "Get", WireRange{Key: []byte(key)})
}

// Apply implements Store.
func (cl *Client) Apply(ctx context.Context, co Commit) (Outcome, error) {
	var rs WireTxnResponse
	if err := cl.transact(ctx, "Apply", txnFromCommit(co), &rs); err != nil {
		return Outcome{}, err
	}
	return outcomeFromWire(rs, rs.Header.Revision), nil
}

// ApplyEach implements Store.
func (cl *Client) ApplyEach(ctx context.Context, cos []Commit) ([]Outcome, error) {
	var tx WireTxn
	for _, co := range cos {
		sub := txnFromCommit(co)
		tx.Success = append(tx.Success, WireOp{Txn: &sub})
	}
	var rs WireTxnResponse
	if err := cl.transact(ctx, "ApplyEach", tx, &rs); err != nil {
		return nil, err
	}
	if len(rs.Responses) != len(cos) {
		return nil, eris.Wrapf(ErrOutcomeUnknown, "Client.ApplyEach: got %d results for %d commits", len(rs.Responses), len(cos))
	}
	ous := make([]Outcome, len(cos))
	for i, re := range rs.Responses {
		if re.Txn == nil {
			return nil, eris.Wrap(ErrOutcomeUnknown, "Client.ApplyEach: result holds no transaction response")
		}
		ous[i] = outcomeFromWire(*re.Txn, rs.Header.Revision)
	}
	return ous, nil
}

// transact runs a transaction. Its error is ErrOutcomeUnknown if the store may have
// received the transaction, and ErrUnavailable if not.
func (cl *Client) transact(ctx context.Context, op string, tx WireTxn, rs *WireTxnResponse) error {
	sent, err := cl.call(ctx, "/v3/kv/txn", tx, rs)
	if err == nil {
		return nil
	}
	kind := ErrUnavailable
	if sent {
		kind = ErrOutcomeUnknown
	}
	return eris.Wrapf(errors.Join(kind, err), "Client.%s", op)
}

// Watch implements Store. The watch fails if it reads no message for
// Options.WatchProgress, even if the reason is that report blocks for that long.
func (cl *Client) Watch(ctx context.Context, prefix Key, from Revision, report func(WatchUpdate)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tm := time.AfterFunc(cl.opt.WatchProgress, cancel)
	defer tm.Stop()
	wa := WireWatch{Create: WireWatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd(prefix),
		StartRevision: int64(from), ProgressNotify: true,
	}}
	rs, _, err := cl.send(ctx, "/v3/watch", wa)
	if err != nil {
		return eris.Wrap(errors.Join(ErrUnavailable, err), "Client.Watch")
	}
	defer func() { _ = rs.Body.Close() }()
	de := json.NewDecoder(rs.Body)
	for {
		var li WireWatchLine
		if err := de.Decode(&li); err != nil {
			return eris.Wrap(errors.Join(ErrUnavailable, err), "Client.Watch")
		}
		tm.Reset(cl.opt.WatchProgress)
		if li.Result.CompactRevision > 0 {
			return eris.Wrap(ErrCompacted, "Client.Watch")
		}
		if li.Result.Canceled {
			return eris.Wrap(ErrUnavailable, "Client.Watch: cancelled by the store")
		}
		report(updateFromWire(li.Result))
	}
}

// updateFromWire converts a message of a watch. In a message without changes, only
// the revision is set.
func updateFromWire(re WireWatchResult) WatchUpdate {
	wu := WatchUpdate{Revision: Revision(re.Header.Revision), AnsweredAt: time.Now()}
	for _, ev := range re.Events {
		wu.Changes = append(wu.Changes, Change{KeyValue: keyValuesFromWire([]WireKeyValue{ev.Kv})[0], Deleted: ev.Type == "DELETE"})
	}
	return wu
}

// Grant implements Store. It rounds ttl up to whole seconds, the unit of etcd.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var le WireLease
	rq := WireLeaseGrant{TTL: int64(math.Ceil(ttl.Seconds()))}
	if _, err := cl.call(ctx, "/v3/lease/grant", rq, &le); err != nil {
		return LeaseID{}, eris.Wrap(errors.Join(ErrUnavailable, err), "Client.Grant")
	}
	return LeaseID{Number: le.ID}, nil
}

// KeepAlive implements Store. etcd returns a TTL of 0 for a lease that has expired.
func (cl *Client) KeepAlive(ctx context.Context, id LeaseID) (bool, error) {
	var ka WireKeepAlive
	if _, err := cl.call(ctx, "/v3/lease/keepalive", WireLease{ID: id.Number}, &ka); err != nil {
		return false, eris.Wrap(errors.Join(ErrUnavailable, err), "Client.KeepAlive")
	}
	return ka.Result.TTL > 0, nil
}

// Revoke implements Store.
func (cl *Client) Revoke(ctx context.Context, id LeaseID) error {
	var ignored WireHeader
	if _, err := cl.call(ctx, "/v3/lease/revoke", WireLease{ID: id.Number}, &ignored); err != nil {
		return eris.Wrap(errors.Join(ErrUnavailable, err), "Client.Revoke")
	}
	return nil
}

// txnFromCommit returns the etcd transaction for a commit. If a compare fails, the
// transaction reads the compared keys for Outcome.Found.
func txnFromCommit(co Commit) WireTxn {
	var tx WireTxn
	for _, cm := range co.Compares {
		tx.Compare = append(tx.Compare, WireCompare{Key: []byte(cm.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64(cm.ModRevision)})
		tx.Failure = append(tx.Failure, WireOp{Range: &WireRange{Key: []byte(cm.Key)}})
	}
	for _, pu := range co.Puts {
		tx.Success = append(tx.Success, WireOp{Put: &WirePut{Key: []byte(pu.Key), Value: pu.Value, Lease: pu.Lease.Number}})
	}
	for _, ke := range co.Deletes {
		tx.Success = append(tx.Success, WireOp{Delete: &WireRange{Key: []byte(ke)}})
	}
	return tx
}

// outcomeFromWire converts the response to a commit's transaction. revision is the
// one in the header of the whole response.
func outcomeFromWire(rs WireTxnResponse, revision int64) Outcome {
	ou := Outcome{Applied: rs.Succeeded, Revision: Revision(revision)}
	if rs.Succeeded {
		return ou
	}
	for _, re := range rs.Responses {
		if re.Range != nil {
			ou.Found = append(ou.Found, keyValuesFromWire(re.Range.Kvs)...)
		}
	}
	return ou
}

func keyValuesFromWire(kvs []WireKeyValue) []KeyValue {
	out := make([]KeyValue, len(kvs))
	for i, kv := range kvs {
		out[i] = KeyValue{
			Key: Key(kv.Key), Value: kv.Value,
			CreateRevision: Revision(kv.CreateRevision), ModRevision: Revision(kv.ModRevision),
		}
	}
	return out
}
