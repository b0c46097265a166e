package standin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// eraHeader is the header of all answers of KVHandler that counts the store's restores.
const eraHeader = "Store-Era"

// StoreCopy is the state of a Store at one moment, as a backup keeps it.
type StoreCopy struct {
	revision, compactedRevision int64
	pairs                       map[string]storedPair
	leases                      map[int64]storedLease
}

// Copy returns a copy of the store's state, for Restore.
func (st *Store) Copy() StoreCopy {
	st.mu.Lock()
	defer st.mu.Unlock()
	return StoreCopy{
		revision: st.revision, compactedRevision: st.compactedRevision,
		pairs: maps.Clone(st.pairs), leases: maps.Clone(st.leases),
	}
}

// AnswerStale makes reads that allow stale answers answer from a copy.
func (st *Store) AnswerStale(co StoreCopy) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stale = &co
}

// Restore brings the store back to the state of a copy. What was written since is gone,
// leases too, revisions are given out again, and the era rises by one. The copy's leases
// begin anew. A watch from a revision that the store does not have gets status 410, and so
// does one from before the copy, which has no history.
func (st *Store) Restore(co StoreCopy) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era.Add(1)
	st.revision, st.compactedRevision, st.events = co.revision, co.revision, nil
	st.pairs, st.leases = maps.Clone(co.pairs), maps.Clone(co.leases)
	for id, le := range st.leases {
		le.expiresAt = time.Now().Add(time.Duration(le.ttl) * time.Second)
		st.leases[id] = le
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// clientWrite is what an operator or a replica wrote last under a key, nil if it deleted
// the key.
type clientWrite struct {
	value []byte
	order int
}

// WriteAgain repeats what operators and replicas wrote with Write, as far as a restore has
// lost it, in the order of their writes.
func (st *Store) WriteAgain() {
	st.mu.Lock()
	lost := maps.Clone(st.written)
	for key, wr := range st.written {
		pa, ok := st.pairs[key]
		if ok == (wr.value != nil) && string(pa.kv.Value) == string(wr.value) {
			delete(lost, key)
		}
	}
	st.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(lost), func(a, b string) int { return cmp.Compare(lost[a].order, lost[b].order) })
	for _, key := range keys {
		st.Write(key, lost[key].value)
	}
}

// eraWriter sets the header of the store's era when an answer begins.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (ew *eraWriter) WriteHeader(status int) {
	if !ew.begun {
		ew.begun = true
		ew.Header().Set(eraHeader, strconv.FormatInt(ew.store.era.Load(), 10))
	}
	ew.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (ew *eraWriter) Write(text []byte) (int, error) {
	if !ew.begun {
		ew.WriteHeader(http.StatusOK)
	}
	return ew.ResponseWriter.Write(text)
}

// withEra returns a handler that names the store's era in its answers.
func (st *Store) withEra(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		ha.ServeHTTP(&eraWriter{ResponseWriter: wr, store: st}, rq)
	})
}
