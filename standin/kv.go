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

// kvItem is a pair, or a deletion, on the users' platform.
type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type kvAnswer struct {
	Items         []kvItem `json:"items,omitempty"`
	Events        []kvItem `json:"events,omitempty"`
	MorePages     bool     `json:"more_pages"`
	StoreRevision int64    `json:"store_revision"`
}

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

// kvPage is how many items a page has.
const kvPage = 50

// KVHandler serves the same store by the calls of the users' platform.
func (st *Store) KVHandler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("GET /v1/kv-range", st.kvRange)
	mu.HandleFunc("GET /v1/kv-watch", st.kvWatch)
	mu.HandleFunc("POST /v1/kv-txn", st.kvTxn)
	mu.HandleFunc("POST /v1/kv-lease", st.kvLease)
	mu.HandleFunc("POST /v1/kv-keep/{id}", st.kvKeep)
	mu.HandleFunc("DELETE /v1/kv-lease-end/{id}", st.kvLeaseEnd)
	return st.Wrap(mu)
}

// Write puts a value as the operator or a replica does; nil deletes the key.
func (st *Store) Write(key string, value []byte) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	before := len(st.events)
	st.revision++
	if value == nil {
		st.remove(key)
	} else {
		st.put(store.WirePut{Key: []byte(key), Value: value})
	}
	st.wake(before)
	return st.revision
}

// Value gives a key's value, nil when there is none.
func (st *Store) Value(key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pairs[key].kv.Value
}

// Compact drops the history before now, and cuts the waiting watches.
func (st *Store) Compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.events, st.compacted = nil, st.revision
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) kvRange(wr http.ResponseWriter, rq *http.Request) {
	qu := rq.URL.Query()
	st.mu.Lock()
	st.reads++
	st.expire()
	an := kvAnswer{StoreRevision: st.revision, Items: []kvItem{}}
	for key, pa := range st.pairs {
		if strings.HasPrefix(key, qu.Get("prefix")) && key > qu.Get("after") {
			an.Items = append(an.Items, kvItem{Key: key, Value: pa.kv.Value, Revision: pa.kv.ModRevision, Created: pa.kv.CreateRevision, Lease: pa.lease})
		}
	}
	st.mu.Unlock()
	sort.Slice(an.Items, func(i, j int) bool { return an.Items[i].Key < an.Items[j].Key })
	if len(an.Items) > kvPage {
		an.Items, an.MorePages = an.Items[:kvPage], true
	}
	writeJSON(wr, an)
}

func (st *Store) kvWatch(wr http.ResponseWriter, rq *http.Request) {
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
		an, changed, gone := st.kvEvents(qu.Get("prefix"), after)
		if gone {
			wr.WriteHeader(http.StatusGone)
			return
		}
		if len(an.Events) > 0 {
			writeJSON(wr, an)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			writeJSON(wr, an)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *Store) kvEvents(prefix string, after int64) (an kvAnswer, changed chan struct{}, gone bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if after < st.compacted {
		return an, nil, true
	}
	an = kvAnswer{StoreRevision: st.revision, Events: []kvItem{}}
	for _, ev := range st.events {
		if ev.Kv.ModRevision > after && strings.HasPrefix(string(ev.Kv.Key), prefix) {
			an.Events = append(an.Events, kvItem{
				Key: string(ev.Kv.Key), Value: ev.Kv.Value, Revision: ev.Kv.ModRevision,
				Created: ev.Kv.CreateRevision, Tombstone: ev.Type == "DELETE",
			})
		}
	}
	return an, st.changed, false
}

func (st *Store) kvTxn(wr http.ResponseWriter, rq *http.Request) {
	var tx kvTxn
	if !readJSON(wr, rq, &tx) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.writes++
	st.expire()
	for _, ex := range tx.Expect {
		if st.pairs[ex.Key].kv.ModRevision != ex.Revision {
			st.kvRefuse(wr, tx)
			return
		}
	}
	for _, pu := range tx.Puts {
		if _, ok := st.leases[pu.Lease]; pu.Lease != 0 && !ok {
			wr.WriteHeader(http.StatusNotFound)
			return
		}
	}
	before := len(st.events)
	st.revision++
	for _, pu := range tx.Puts {
		st.put(store.WirePut{Key: []byte(pu.Key), Value: pu.Value, Lease: pu.Lease})
	}
	for _, key := range tx.Deletes {
		st.remove(key)
	}
	st.wake(before)
	writeJSON(wr, struct {
		Revision int64 `json:"revision"`
	}{st.revision})
}

func (st *Store) kvRefuse(wr http.ResponseWriter, tx kvTxn) {
	an := kvAnswer{Items: []kvItem{}}
	for _, ex := range tx.Expect {
		pa := st.pairs[ex.Key]
		an.Items = append(an.Items, kvItem{Key: ex.Key, Value: pa.kv.Value, Revision: pa.kv.ModRevision, Created: pa.kv.CreateRevision, Lease: pa.lease})
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(wr).Encode(an)
}

type kvLeaseTerms struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMS int64 `json:"ttl_ms"`
}

func (st *Store) kvLease(wr http.ResponseWriter, rq *http.Request) {
	var le kvLeaseTerms
	if !readJSON(wr, rq, &le) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.writes++
	st.revision++
	ttl := time.Duration(le.TTLMS) * time.Millisecond
	st.leases[st.revision] = storedLease{ttl: int64(ttl / time.Second), expiresAt: time.Now().Add(ttl)}
	writeJSON(wr, kvLeaseTerms{Lease: st.revision, TTLMS: le.TTLMS})
}

func (st *Store) kvKeep(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseInt(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	held, ok := st.leases[id]
	if !ok {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	held.expiresAt = time.Now().Add(time.Duration(held.ttl) * time.Second)
	st.leases[id] = held
	writeJSON(wr, kvLeaseTerms{TTLMS: held.ttl * 1000})
}

func (st *Store) kvLeaseEnd(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseInt(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	before := len(st.events)
	st.endLease(id)
	st.wake(before)
	writeJSON(wr, struct{}{})
}
