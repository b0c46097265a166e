package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"tanagerpoint.example/tanager/store"
)

// progressInterval is the time between two signs of life of a watch.
const progressInterval = 500 * time.Millisecond

// maxValueBytes is the largest value that the store holds.
const maxValueBytes = 1 << 20

// Store stands in for the platform's key-value service. It speaks the subset
// of the etcd v3 JSON API that the system uses.
type Store struct {
	FaultInjector

	mu       sync.Mutex
	revision int64
	pairs    map[string]storedPair
	events   []store.WireEvent
	leases   map[int64]storedLease
	changed  chan struct{}
	reads    int64
	writes   int64
	// compacted is the revision up to which there is no history.
	compacted int64
}

type storedPair struct {
	kv    store.WireKeyValue
	lease int64
}

type storedLease struct {
	ttl       int64
	expiresAt time.Time
}

// NewStore gives an empty store.
func NewStore() *Store {
	st := &Store{revision: 1, pairs: map[string]storedPair{}, leases: map[int64]storedLease{}, changed: make(chan struct{})}
	st.losable = func(rq *http.Request) bool { return rq.URL.Path == "/v3/kv/txn" || rq.URL.Path == "/v1/kv-txn" }
	return st
}

// Calls counts the reads and writes so far; a waiting watch is a read.
func (st *Store) Calls() (reads, writes int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.reads, st.writes
}

// Revision gives the revision of the last change.
func (st *Store) Revision() int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.revision
}

// Handler serves the API.
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
	st.expire()
	rs := st.find(rg)
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
	st.expire()
	before := len(st.events)
	st.revision++
	rs := st.run(tx)
	if len(st.events) == before {
		st.revision--
	}
	rs.Header.Revision = st.revision
	st.wake(before)
	st.mu.Unlock()
	writeJSON(wr, rs)
}

func tooLarge(tx store.WireTxn) bool {
	for _, op := range slices.Concat(tx.Success, tx.Failure) {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes || op.Txn != nil && tooLarge(*op.Txn) {
			return true
		}
	}
	return false
}

// run carries out a transaction at the current revision.
func (st *Store) run(tx store.WireTxn) store.WireTxnResponse {
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

func (st *Store) runOp(op store.WireOp) store.WireOpResponse {
	switch {
	case op.Range != nil:
		found := st.find(*op.Range)
		return store.WireOpResponse{Range: &found}
	case op.Put != nil:
		st.put(*op.Put)
	case op.Delete != nil:
		for _, kv := range st.find(*op.Delete).Kvs {
			st.remove(string(kv.Key))
		}
	case op.Txn != nil:
		rs := st.run(*op.Txn)
		return store.WireOpResponse{Txn: &rs}
	}
	return store.WireOpResponse{}
}

func (st *Store) put(pu store.WirePut) {
	key := string(pu.Key)
	kv := store.WireKeyValue{Key: pu.Key, Value: pu.Value, CreateRevision: st.pairs[key].kv.CreateRevision, ModRevision: st.revision}
	if kv.CreateRevision == 0 {
		kv.CreateRevision = st.revision
	}
	st.pairs[key] = storedPair{kv: kv, lease: pu.Lease}
	st.events = append(st.events, store.WireEvent{Kv: kv})
}

func (st *Store) remove(key string) {
	delete(st.pairs, key)
	st.events = append(st.events, store.WireEvent{Type: "DELETE", Kv: store.WireKeyValue{Key: []byte(key), ModRevision: st.revision}})
}

func (st *Store) find(rg store.WireRange) store.WireRangeResponse {
	rs := store.WireRangeResponse{Header: store.WireHeader{Revision: st.revision}}
	for key, pa := range st.pairs {
		if inRange(key, rg.Key, rg.RangeEnd) {
			rs.Kvs = append(rs.Kvs, pa.kv)
		}
	}
	sort.Slice(rs.Kvs, func(i, j int) bool { return string(rs.Kvs[i].Key) < string(rs.Kvs[j].Key) })
	return rs
}

func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	return key >= string(from) && key < string(end)
}

// expire deletes the pairs of lapsed leases.
func (st *Store) expire() {
	before := len(st.events)
	for id, le := range st.leases {
		if time.Now().After(le.expiresAt) {
			st.endLease(id)
		}
	}
	st.wake(before)
}

func (st *Store) endLease(id int64) {
	delete(st.leases, id)
	for key, pa := range st.pairs {
		if pa.lease == id {
			st.revision++
			st.remove(key)
		}
	}
}

// wake tells waiting watches of events after an index.
func (st *Store) wake(before int) {
	if len(st.events) > before {
		close(st.changed)
		st.changed = make(chan struct{})
	}
}

func (st *Store) handleWatch(wr http.ResponseWriter, rq *http.Request) {
	var wa store.WireWatch
	if !readJSON(wr, rq, &wa) {
		return
	}
	st.mu.Lock()
	st.reads++
	st.mu.Unlock()
	next := wa.Create.StartRevision
	st.sendLine(wr, store.WireWatchResult{Created: true, Header: store.WireHeader{Revision: next - 1}})
	for rq.Context().Err() == nil {
		fa := st.Faults()
		if fa.Down {
			panic(http.ErrAbortHandler)
		}
		if fa.Freeze {
			<-rq.Context().Done()
			return
		}
		next = st.report(wr, rq, wa.Create, next)
	}
}

// report sends the events from a revision on, or a sign of life, and gives the
// revision to go on from.
func (st *Store) report(wr http.ResponseWriter, rq *http.Request, wa store.WireWatchCreate, next int64) int64 {
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
	st.sendLine(wr, re)
	select {
	case <-changed:
	case <-time.After(progressInterval):
	case <-rq.Context().Done():
	}
	return revision + 1
}

func (st *Store) sendLine(wr http.ResponseWriter, re store.WireWatchResult) {
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

func (st *Store) handleKeepAlive(wr http.ResponseWriter, rq *http.Request) {
	var le store.WireLease
	if !readJSON(wr, rq, &le) {
		return
	}
	st.mu.Lock()
	st.writes++
	st.expire()
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
	before := len(st.events)
	st.endLease(le.ID)
	st.wake(before)
	st.mu.Unlock()
	writeJSON(wr, store.WireHeader{})
}

// ExpireLeases makes lapsed leases take effect now, as the platform does by
// itself. Stand-ins without traffic need it.
func (st *Store) ExpireLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
}
