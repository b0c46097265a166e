package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"tanagerpoint.example/tanager/store"
)

// kvItem is a pair or, with Tombstone set, the deletion of one in the API of the
// users' platform.
type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// item returns the pair in the form of the API of the users' platform.
func (pa storedPair) item(key string) kvItem {
	return kvItem{Key: key, Value: pa.kv.Value, Revision: pa.kv.ModRevision, Created: pa.kv.CreateRevision, Lease: pa.lease}
}

// kvResponse is the body of a response: Items for a range or a refused
// transaction, Events for a watch.
type kvResponse struct {
	Items         []kvItem `json:"items,omitempty"`
	Events        []kvItem `json:"events,omitempty"`
	MorePages     bool     `json:"more_pages"`
	StoreRevision int64    `json:"store_revision"`
}

// kvTxn is the body of a transaction. It is refused unless each key of Expect has
// the given revision, 0 for a key without a value.
type kvTxn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// kvPageSize is the largest number of items in a response to a range, and maxPageBytes the size of
// their values from which a response takes no further item.
const (
	kvPageSize   = 50
	maxPageBytes = 1 << 20
)

// KVHandler returns the handler of the API of the users' platform. It serves the
// same pairs as Handler.
func (st *Store) KVHandler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("GET /v1/kv-key", st.handleKVKey)
	mu.HandleFunc("GET /v1/kv-range", st.handleKVRange)
	mu.HandleFunc("GET /v1/kv-watch", st.handleKVWatch)
	mu.HandleFunc("POST /v1/kv-txn", st.handleKVTxn)
	mu.HandleFunc("POST /v1/kv-lease", st.handleKVLease)
	mu.HandleFunc("POST /v1/kv-keep/{id}", st.handleKVKeepAlive)
	mu.HandleFunc("DELETE /v1/kv-lease-end/{id}", st.handleKVLeaseEnd)
	return st.withEra(st.Wrap(mu))
}

// Write sets the value of a key, or deletes the key if the value is nil, and
// returns the new revision. Tests use it in the role of an operator or a replica.
func (st *Store) Write(key string, value []byte) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.writtenOrder++
	st.written[key] = clientWrite{value: value, order: st.writtenOrder}
	eventsBefore := len(st.events)
	st.revision++
	if value == nil {
		st.remove(key)
	} else {
		st.put(store.WirePut{Key: []byte(key), Value: value})
	}
	st.notifyWatches(eventsBefore)
	return st.revision
}

// Value returns the value of a key, nil if there is none.
func (st *Store) Value(key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pairs[key].kv.Value
}

// Writes returns how often a key was written or deleted since the last call of Compact.
func (st *Store) Writes(key string) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	writes := 0
	for _, ev := range st.events {
		if string(ev.Kv.Key) == key {
			writes++
		}
	}
	return writes
}

// Compact drops the history of events. A watch through KVHandler that continues from
// an earlier revision, also one that waits already, gets status 410 (Gone). A watch
// through Handler is not told of it.
func (st *Store) Compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.events, st.compactedRevision = nil, st.revision
	close(st.changed)
	st.changed = make(chan struct{})
}

// handleKVKey responds with the pair of the key in the query, or with status 404.
func (st *Store) handleKVKey(wr http.ResponseWriter, rq *http.Request) {
	key := rq.URL.Query().Get("key")
	st.mu.Lock()
	st.reads++
	st.revokeExpired()
	pa, ok := st.pairs[key]
	revision := st.revision
	st.mu.Unlock()
	if !ok {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(wr, struct {
		kvItem
		StoreRevision int64 `json:"store_revision"`
	}{pa.item(key), revision})
}

// handleKVRange responds with the pairs whose keys begin with prefix and come after
// the key after, in the order of the keys. MorePages is true if more match than a page
// has.
func (st *Store) handleKVRange(wr http.ResponseWriter, rq *http.Request) {
	qu := rq.URL.Query()
	st.mu.Lock()
	st.reads++
	st.revokeExpired()
	re, pairs := kvResponse{StoreRevision: st.revision, Items: []kvItem{}}, st.pairs
	if st.stale != nil && qu.Get("stale_ok") != "" {
		re.StoreRevision, pairs = st.stale.revision, st.stale.pairs
	}
	for key, pa := range pairs {
		if strings.HasPrefix(key, qu.Get("prefix")) && key > qu.Get("after") {
			re.Items = append(re.Items, pa.item(key))
		}
	}
	st.mu.Unlock()
	sort.Slice(re.Items, func(i, j int) bool { return re.Items[i].Key < re.Items[j].Key })
	if size := pageSize(re.Items); size < len(re.Items) {
		re.Items, re.MorePages = re.Items[:size], true
	}
	writeJSON(wr, re)
}

// pageSize returns how many of the items a page has.
func pageSize(items []kvItem) int {
	sum := 0
	for n, it := range items {
		if n == kvPageSize || sum >= maxPageBytes {
			return n
		}
		sum += len(it.Value)
	}
	return len(items)
}

// handleKVWatch answers a long poll: it responds as soon as there are events after
// the revision after, or without events when wait_ms have passed.
func (st *Store) handleKVWatch(wr http.ResponseWriter, rq *http.Request) {
	qu := rq.URL.Query()
	after, err := strconv.ParseInt(qu.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(qu.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(wr, "after and wait_ms are whole numbers", http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	st.reads++
	st.mu.Unlock()
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for {
		re, changed, compacted := st.eventsAfter(qu.Get("prefix"), after)
		if compacted {
			wr.WriteHeader(http.StatusGone)
			return
		}
		if len(re.Events) > 0 {
			writeJSON(wr, re)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			writeJSON(wr, re)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// eventsAfter returns the events of a prefix after a revision, and a channel that is
// closed when there may be more. compacted is true if Compact dropped some of them, or if
// the store does not have the revision.
func (st *Store) eventsAfter(prefix string, after int64) (re kvResponse, changed chan struct{}, compacted bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if after < st.compactedRevision || after > st.revision {
		return re, nil, true
	}
	re = kvResponse{StoreRevision: st.revision, Events: []kvItem{}}
	for _, ev := range st.events {
		if ev.Kv.ModRevision > after && strings.HasPrefix(string(ev.Kv.Key), prefix) {
			re.Events = append(re.Events, kvItem{
				Key: string(ev.Kv.Key), Value: ev.Kv.Value, Revision: ev.Kv.ModRevision,
				Created: ev.Kv.CreateRevision, Tombstone: ev.Type == "DELETE",
			})
		}
	}
	return re, st.changed, false
}

func (st *Store) handleKVTxn(wr http.ResponseWriter, rq *http.Request) {
	var tx kvTxn
	if !readJSON(wr, rq, &tx) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.writes++
	st.revokeExpired()
	for _, ex := range tx.Expect {
		if st.pairs[ex.Key].kv.ModRevision != ex.Revision {
			st.refuseKVTxn(wr, tx)
			return
		}
	}
	for _, pu := range tx.Puts {
		if _, ok := st.leases[pu.Lease]; pu.Lease != 0 && !ok {
			wr.WriteHeader(http.StatusNotFound)
			return
		}
	}
	eventsBefore := len(st.events)
	st.revision++
	for _, pu := range tx.Puts {
		st.put(store.WirePut{Key: []byte(pu.Key), Value: pu.Value, Lease: pu.Lease})
	}
	for _, key := range tx.Deletes {
		st.remove(key)
	}
	st.notifyWatches(eventsBefore)
	writeJSON(wr, struct {
		Revision int64 `json:"revision"`
	}{st.revision})
}

// refuseKVTxn responds with status 412 and the current state of the expected keys.
// The caller holds mu.
func (st *Store) refuseKVTxn(wr http.ResponseWriter, tx kvTxn) {
	re := kvResponse{Items: []kvItem{}}
	for _, ex := range tx.Expect {
		pa := st.pairs[ex.Key]
		re.Items = append(re.Items, pa.item(ex.Key))
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(wr).Encode(re)
}

// kvLeaseBody is the body of requests for a lease and of their responses.
type kvLeaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMS int64 `json:"ttl_ms"`
}

// firstKVLease is added to the revision at which a lease is granted: the numbers of leases
// use all bits that the platform's may use.
const firstKVLease = 1 << 60

func (st *Store) handleKVLease(wr http.ResponseWriter, rq *http.Request) {
	var le kvLeaseBody
	if !readJSON(wr, rq, &le) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.writes++
	st.revision++
	ttl := time.Duration(le.TTLMS) * time.Millisecond
	id := firstKVLease + st.revision
	st.leases[id] = storedLease{ttl: int64(ttl / time.Second), expiresAt: time.Now().Add(ttl)}
	writeJSON(wr, kvLeaseBody{Lease: id, TTLMS: le.TTLMS})
}

func (st *Store) handleKVKeepAlive(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseInt(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revokeExpired()
	held, ok := st.leases[id]
	if !ok {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	held.expiresAt = time.Now().Add(time.Duration(held.ttl) * time.Second)
	st.leases[id] = held
	writeJSON(wr, kvLeaseBody{TTLMS: held.ttl * 1000})
}

func (st *Store) handleKVLeaseEnd(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseInt(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	eventsBefore := len(st.events)
	st.revokeLease(id)
	st.notifyWatches(eventsBefore)
	writeJSON(wr, struct{}{})
}
