// Package standin simulates the platform's services, model engines and plain
// services, for the demonstration and for tests. A test sets the faults of a
// stand-in through its methods; those of all but Replica can also be set over
// HTTP.
//
// The stand-ins belong to two platforms. Entries and stewards run on "the
// platform", whose store has the etcd v3 JSON API. Routers run on "the users'
// platform", whose store has an API of its own (Store.KVHandler) and whose
// services run as replicas (Replica).
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// FaultPath is the path at which a POST with a Faults object as its JSON body
// replaces the faults of a stand-in.
const FaultPath = "/standin/faults"

// Faults are the faults that a stand-in injects. The zero value injects none.
type Faults struct {
	// Down aborts the connection of every request as soon as it arrives.
	Down bool `json:"down"`
	// Freeze accepts requests but neither handles nor answers them.
	Freeze bool `json:"freeze"`
	// DelayMS is the time, in milliseconds, before a request is handled.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of following writes that are carried out but not
	// answered: the connection is aborted instead.
	LoseAnswers int `json:"lose_answers"`
	// LateWrites is the number of following writes whose connection is aborted at
	// once and that are carried out LateMS milliseconds later, when the client no
	// longer waits for the response.
	LateWrites int   `json:"late_writes"`
	LateMS     int64 `json:"late_ms"`
	// LateAbout limits LateWrites to requests whose body contains this text, such
	// as a key; "" selects all.
	LateAbout string `json:"late_about"`
	// FailModel is the model whose requests an engine answers with status 500.
	FailModel string `json:"fail_model"`
	// FailShare is the share of these requests, chosen at random; 0 selects all.
	FailShare float64 `json:"fail_share"`
	// CutAfter is the number of events after which the next CutStreams streams of
	// an engine are aborted.
	CutAfter   int `json:"cut_after"`
	CutStreams int `json:"cut_streams"`
	// SilentAfter is the number of events after which the next SilentStreams
	// streams of an engine send nothing more but stay open.
	SilentAfter   int `json:"silent_after"`
	SilentStreams int `json:"silent_streams"`
	// CrossAnswers is the number of following streams of an engine whose events
	// carry another request's ID.
	CrossAnswers int `json:"cross_answers"`
	// Usage, if not empty, replaces the JSON object in which an engine reports the tokens of
	// an answer.
	Usage string `json:"usage"`
}

// FaultInjector holds the faults of a stand-in and injects them into its
// requests. Its methods may be called concurrently.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
	// writeMatcher reports whether a request counts as a write, to which
	// LoseAnswers and LateWrites apply. If nil, every POST does.
	writeMatcher func(rq *http.Request) bool
}

// SetFaults replaces the faults in force.
func (fi *FaultInjector) SetFaults(fa Faults) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults = fa
}

// Faults returns the faults in force.
func (fi *FaultInjector) Faults() Faults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.faults
}

// decrement lowers a counter among the faults by one if it is above zero, and
// reports whether it was.
func (fi *FaultInjector) decrement(counter func(fa *Faults) *int) bool {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	n := counter(&fi.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Wrap returns a handler that serves FaultPath and injects the faults in force
// into all other requests before it passes them to ha. It aborts a connection by
// a panic with http.ErrAbortHandler.
func (fi *FaultInjector) Wrap(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == FaultPath {
			fi.handleFaults(wr, rq)
			return
		}
		fa := fi.Faults()
		if fa.Down {
			panic(http.ErrAbortHandler)
		}
		if fa.Freeze {
			// net/http notices that the client has disconnected only after the body has
			// been read.
			_, _ = io.Copy(io.Discard, rq.Body)
			<-rq.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if fa.DelayMS > 0 {
			time.Sleep(time.Duration(fa.DelayMS) * time.Millisecond)
		}
		if fi.isWrite(rq) && fi.decrement(func(fa *Faults) *int { return &fa.LoseAnswers }) {
			ha.ServeHTTP(httptest.NewRecorder(), rq)
			panic(http.ErrAbortHandler)
		}
		if fi.isWrite(rq) && fa.LateWrites > 0 && bodyContains(rq, fa.LateAbout) && fi.decrement(func(fa *Faults) *int { return &fa.LateWrites }) {
			serveLater(ha, rq, time.Duration(fa.LateMS)*time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		ha.ServeHTTP(wr, rq)
	})
}

// bodyContains reports whether a request's body contains a text. It replaces the
// body with a copy, so that it can be read again.
func bodyContains(rq *http.Request, text string) bool {
	body, err := io.ReadAll(rq.Body)
	rq.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil && bytes.Contains(body, []byte(text))
}

// serveLater handles a request after a delay, also if its connection has been
// closed, and discards the response.
func serveLater(ha http.Handler, rq *http.Request, late time.Duration) {
	later := rq.Clone(context.WithoutCancel(rq.Context()))
	time.AfterFunc(late, func() { ha.ServeHTTP(httptest.NewRecorder(), later) })
}

func (fi *FaultInjector) isWrite(rq *http.Request) bool {
	if fi.writeMatcher != nil {
		return fi.writeMatcher(rq)
	}
	return rq.Method == http.MethodPost
}

// fails reports whether a request for a model fails.
func (fa Faults) fails(model string) bool {
	return model != "" && model == fa.FailModel && (fa.FailShare == 0 || rand.Float64() < fa.FailShare)
}

// handleFaults replaces the faults in force by those in the body.
func (fi *FaultInjector) handleFaults(wr http.ResponseWriter, rq *http.Request) {
	var fa Faults
	if err := json.NewDecoder(rq.Body).Decode(&fa); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	fi.SetFaults(fa)
}

// readJSON decodes a request's body into a value and reports whether it could;
// if not, it responds with status 400.
func readJSON(wr http.ResponseWriter, rq *http.Request, into any) bool {
	if err := json.NewDecoder(rq.Body).Decode(into); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(wr http.ResponseWriter, va any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(va)
}
