package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/store"
)

// progressInterval is the longest time between two messages of a watch: without
// events the store sends an empty one, which tells the client its revision.
const progressInterval = 500 * time.Millisecond

// maxValueBytes bounds the size of a value in transactions of the etcd API.
const maxValueBytes = 1 << 20

// Store simulates the platform's key-value service in memory. Handler serves the
// subset of the etcd v3 JSON API that the clients use, KVHandler the API of the
// users' platform. Its methods may be called concurrently.
//
// mu guards the fields below it.
type Store struct {
	FaultInjector
	// era counts the restores, from 1 on.
	era atomic.Int64

	mu sync.Mutex
	// written holds what operators and replicas wrote with Write, and writtenOrder the
	// order of the last.
	written      map[string]clientWrite
	writtenOrder int
	// revision is that of the last change. Granting a lease advances it as well.
	revision int64
	pairs    map[string]storedPair
	// events is the history of changes since the last compaction.
	events []store.WireEvent
	leases map[int64]storedLease
	// stale is what reads that allow stale answers are answered from, nil for the newest.
	stale *StoreCopy
	// changed is closed, and replaced, when events are added or compacted.
	changed chan struct{}
	// reads and writes count the calls, see Calls.
	reads  int64
	writes int64
	// compactedRevision is the revision up to which events are dropped.
	compactedRevision int64
}

// storedPair is a key with its value; lease is 0 without a lease.
type storedPair struct {
	kv    store.WireKeyValue
	lease int64
}

// storedLease is a lease. ttl is in whole seconds: a lease of KVHandler, whose time to
// live is in milliseconds, is renewed for that time rounded down.
type storedLease struct {
	ttl       int64
	expiresAt time.Time
}

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	st := &Store{
		revision: 1, pairs: map[string]storedPair{}, leases: map[int64]storedLease{}, changed: make(chan struct{}),
		written: map[string]clientWrite{},
	}
	st.era.Store(1)
	st.writeMatcher = func(rq *http.Request) bool { return rq.URL.Path == "/v3/kv/txn" || rq.URL.Path == "/v1/kv-txn" }
	return st
}

// Calls returns the numbers of reads and writes so far. Opening a watch is a read,
// a call about a lease a write; KVHandler does not count renewing and revoking one.
func (st *Store) Calls() (reads, writes int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.reads, st.writes
}

// Revision returns the current revision: that of the last change or granted lease.
func (st *Store) Revision() int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.revision
}

// Handler returns the handler of the etcd API.
func (st *Store) Handler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("POST /v3/kv/range", st.handleRange)
	mu.HandleFunc("POST /v3/kv/txn", st.handleTxn)
	mu.HandleFunc("POST /v3/watch", st.handleWatch)
	mu.HandleFunc("POST /v3/lease/grant", st.handleGrant)
	mu.HandleFunc("POST /v3/lease/keepalive", st.handleKeepAlive)
	mu.HandleFunc("POST /v3/lease/revoke", st.handleRevoke)
	return st.Wrap(mu)
}

func (st *Store) handleRange(wr http.ResponseWriter, rq *http.Request) {
	var rg store.WireRange
	if !readJSON(wr, rq, &rg) {
		return
	}
	st.mu.Lock()
	st.reads++
	st.revokeExpired()
	rs := st.findRange(rg)
	st.mu.Unlock()
	writeJSON(wr, rs)
}

func (st *Store) handleTxn(wr http.ResponseWriter, rq *http.Request) {
	var tx store.WireTxn
	if !readJSON(wr, rq, &tx) {
		return
	}
	if tooLarge(tx) {
		http.Error(wr, "value is larger than a megabyte", http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	st.writes++
	st.revokeExpired()
	eventsBefore := len(st.events)
	st.revision++
	rs := st.runTxn(tx)
	if len(st.events) == eventsBefore {
		st.revision--
	}
	rs.Header.Revision = st.revision
	st.notifyWatches(eventsBefore)
	st.mu.Unlock()
	writeJSON(wr, rs)
}

// tooLarge reports whether a transaction, or one nested in it, puts a value of
// more than maxValueBytes.
func tooLarge(tx store.WireTxn) bool {
	for _, op := range slices.Concat(tx.Success, tx.Failure) {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes || op.Txn != nil && tooLarge(*op.Txn) {
			return true
		}
	}
	return false
}

// runTxn carries out a transaction; its changes get the current revision. The
// caller holds mu.
func (st *Store) runTxn(tx store.WireTxn) store.WireTxnResponse {
	rs := store.WireTxnResponse{Header: store.WireHeader{Revision: st.revision}, Succeeded: true}
	for _, cm := range tx.Compare {
		if st.pairs[string(cm.Key)].kv.ModRevision != cm.ModRevision {
			rs.Succeeded = false
		}
	}
	ops := tx.Success
	if !rs.Succeeded {
		ops = tx.Failure
	}
	for _, op := range ops {
		rs.Responses = append(rs.Responses, st.runOp(op))
	}
	return rs
}

// runOp carries out an operation of a transaction. The caller holds mu.
func (st *Store) runOp(op store.WireOp) store.WireOpResponse {
	switch {
	case op.Range != nil:
		found := st.findRange(*op.Range)
		return store.WireOpResponse{Range: &found}
	case op.Put != nil:
		st.put(*op.Put)
	case op.Delete != nil:
		for _, kv := range st.findRange(*op.Delete).Kvs {
			st.remove(string(kv.Key))
		}
	case op.Txn != nil:
		rs := st.runTxn(*op.Txn)
		return store.WireOpResponse{Txn: &rs}
	}
	return store.WireOpResponse{}
}

// put sets a value at the current revision, and adds the event. The caller holds mu.
func (st *Store) put(pu store.WirePut) {
	key := string(pu.Key)
	kv := store.WireKeyValue{Key: pu.Key, Value: pu.Value, CreateRevision: st.pairs[key].kv.CreateRevision, ModRevision: st.revision}
	if kv.CreateRevision == 0 {
		kv.CreateRevision = st.revision
	}
	st.pairs[key] = storedPair{kv: kv, lease: pu.Lease}
	st.events = append(st.events, store.WireEvent{Kv: kv})
}

// remove deletes a key at the current revision, and adds the event. The caller holds
// mu.
func (st *Store) remove(key string) {
	delete(st.pairs, key)
	st.events = append(st.events, store.WireEvent{Type: "DELETE", Kv: store.WireKeyValue{Key: []byte(key), ModRevision: st.revision}})
}

// findRange returns the pairs of a range in the order of their keys. The caller holds
// mu.
func (st *Store) findRange(rg store.WireRange) store.WireRangeResponse {
	rs := store.WireRangeResponse{Header: store.WireHeader{Revision: st.revision}}
	for key, pa := range st.pairs {
		if inRange(key, rg.Key, rg.RangeEnd) {
			rs.Kvs = append(rs.Kvs, pa.kv)
		}
	}
	sort.Slice(rs.Kvs, func(i, j int) bool { return string(rs.Kvs[i].Key) < string(rs.Kvs[j].Key) })
	return rs
}

// inRange reports whether a key lies in a range, which includes from but not end. An
// empty end selects only the key from.
func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	return key >= string(from) && key < string(end)
}

// revokeExpired revokes the leases that have expired. The caller holds mu.
func (st *Store) revokeExpired() {
	eventsBefore := len(st.events)
	for id, le := range st.leases {
		if time.Now().After(le.expiresAt) {
			st.revokeLease(id)
		}
	}
	st.notifyWatches(eventsBefore)
}

// revokeLease ends a lease and deletes the pairs that are bound to it, each at a
// revision of its own. The caller holds mu, and calls notifyWatches afterwards.
func (st *Store) revokeLease(id int64) {
	delete(st.leases, id)
	for key, pa := range st.pairs {
		if pa.lease == id {
			st.revision++
			st.remove(key)
		}
	}
}

// notifyWatches wakes the waiting watches if there are more events than
// eventsBefore. The caller holds mu.
func (st *Store) notifyWatches(eventsBefore int) {
	if len(st.events) > eventsBefore {
		close(st.changed)
		st.changed = make(chan struct{})
	}
}

// handleWatch sends the events of a range as a stream of lines until the client
// disconnects. The faults Down and Freeze take effect on open watches too.
func (st *Store) handleWatch(wr http.ResponseWriter, rq *http.Request) {
	var wa store.WireWatch
	if !readJSON(wr, rq, &wa) {
		return
	}
	st.mu.Lock()
	st.reads++
	st.mu.Unlock()
	next := wa.Create.StartRevision
	st.sendResult(wr, store.WireWatchResult{Created: true, Header: store.WireHeader{Revision: next - 1}})
	for rq.Context().Err() == nil {
		fa := st.Faults()
		if fa.Down {
			panic(http.ErrAbortHandler)
		}
		if fa.Freeze {
			<-rq.Context().Done()
			return
		}
		next = st.sendEvents(wr, rq, wa.Create, next)
	}
}

// sendEvents sends the events from the revision next on, or an empty message if
// there are none. It then blocks until there may be more or progressInterval has
// passed, and returns the revision from which to continue.
func (st *Store) sendEvents(wr http.ResponseWriter, rq *http.Request, wa store.WireWatchCreate, next int64) int64 {
	st.mu.Lock()
	changed, revision := st.changed, st.revision
	re := store.WireWatchResult{Header: store.WireHeader{Revision: revision}}
	first := sort.Search(len(st.events), func(i int) bool { return st.events[i].Kv.ModRevision >= next })
	for _, ev := range st.events[first:] {
		if inRange(string(ev.Kv.Key), wa.Key, wa.RangeEnd) {
			re.Events = append(re.Events, ev)
		}
	}
	st.mu.Unlock()
	st.sendResult(wr, re)
	select {
	case <-changed:
	case <-time.After(progressInterval):
	case <-rq.Context().Done():
	}
	return revision + 1
}

func (st *Store) sendResult(wr http.ResponseWriter, re store.WireWatchResult) {
	_ = json.NewEncoder(wr).Encode(store.WireWatchLine{Result: re})
	if fl, ok := wr.(http.Flusher); ok {
		fl.Flush()
	}
}

func (st *Store) handleGrant(wr http.ResponseWriter, rq *http.Request) {
	var gr store.WireLeaseGrant
	if !readJSON(wr, rq, &gr) {
		return
	}
	st.mu.Lock()
	st.writes++
	st.revision++
	id := st.revision
	st.leases[id] = storedLease{ttl: gr.TTL, expiresAt: time.Now().Add(time.Duration(gr.TTL) * time.Second)}
	st.mu.Unlock()
	writeJSON(wr, store.WireLease{ID: id, TTL: gr.TTL})
}

// handleKeepAlive renews a lease. If there is none with the ID, the response has no TTL,
// which counts as 0.
func (st *Store) handleKeepAlive(wr http.ResponseWriter, rq *http.Request) {
	var le store.WireLease
	if !readJSON(wr, rq, &le) {
		return
	}
	st.mu.Lock()
	st.writes++
	st.revokeExpired()
	held, ok := st.leases[le.ID]
	if ok {
		held.expiresAt = time.Now().Add(time.Duration(held.ttl) * time.Second)
		st.leases[le.ID] = held
	}
	st.mu.Unlock()
	writeJSON(wr, store.WireKeepAlive{Result: store.WireLease{ID: le.ID, TTL: held.ttl}})
}

func (st *Store) handleRevoke(wr http.ResponseWriter, rq *http.Request) {
	var le store.WireLease
	if !readJSON(wr, rq, &le) {
		return
	}
	st.mu.Lock()
	st.writes++
	eventsBefore := len(st.events)
	st.revokeLease(le.ID)
	st.notifyWatches(eventsBefore)
	st.mu.Unlock()
	writeJSON(wr, store.WireHeader{})
}

// ExpireLeases revokes the leases that have expired, which the platform does by
// itself. The stand-in does it only at some calls, so a test without traffic must
// call this method.
func (st *Store) ExpireLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revokeExpired()
}
