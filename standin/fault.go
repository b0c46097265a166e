// Package standin holds small stand-ins for the platform's services, model
// engines and plain services, for the demonstration and for tests. Each has
// faults that can be ordered over HTTP or from a test.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// FaultPath is where faults are ordered: POST with a Faults object.
const FaultPath = "/standin/faults"

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Down breaks every connection at once.
	Down bool `json:"down"`
	// Freeze takes requests and never answers.
	Freeze bool `json:"freeze"`
	// DelayMS is added before each answer.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is how many next writes are carried out without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LateWrites is how many next writes break at once and are carried out
	// LateMS later, when nobody waits for them any more.
	LateWrites int   `json:"late_writes"`
	LateMS     int64 `json:"late_ms"`
	// LateAbout is what the late writes contain, such as a key; "" for all.
	LateAbout string `json:"late_about"`
	// FailModel is an engine's model whose requests fail.
	FailModel string `json:"fail_model"`
	// CutAfter breaks the next streams after so many events; 0 never.
	CutAfter int `json:"cut_after"`
	// CutStreams is how many streams are broken so.
	CutStreams int `json:"cut_streams"`
	// SilentAfter stops the next streams, without closing, after so many events.
	SilentAfter int `json:"silent_after"`
	// SilentStreams is how many streams are stopped so.
	SilentStreams int `json:"silent_streams"`
	// CrossAnswers is how many next streams carry another request's id.
	CrossAnswers int `json:"cross_answers"`
}

// FaultInjector holds the faults in force.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
	// losable tells which requests LoseAnswers and LateWrites are for; nil: every
	// POST.
	losable func(rq *http.Request) bool
}

// SetFaults replaces the faults.
func (sw *FaultInjector) SetFaults(fa Faults) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.faults = fa
}

// Faults gives the faults in force.
func (sw *FaultInjector) Faults() Faults {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.faults
}

// take lowers a counter and tells whether it was above zero.
func (sw *FaultInjector) take(counter func(fa *Faults) *int) bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	n := counter(&sw.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Wrap puts the faults before a handler.
func (sw *FaultInjector) Wrap(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == FaultPath {
			sw.order(wr, rq)
			return
		}
		fa := sw.Faults()
		if fa.Down {
			panic(http.ErrAbortHandler)
		}
		if fa.Freeze {
			// The server sees the other end leave only once the body is read.
			_, _ = io.Copy(io.Discard, rq.Body)
			<-rq.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if fa.DelayMS > 0 {
			time.Sleep(time.Duration(fa.DelayMS) * time.Millisecond)
		}
		if sw.isWrite(rq) && sw.take(func(fa *Faults) *int { return &fa.LoseAnswers }) {
			ha.ServeHTTP(httptest.NewRecorder(), rq)
			panic(http.ErrAbortHandler)
		}
		if sw.isWrite(rq) && fa.LateWrites > 0 && contains(rq, fa.LateAbout) && sw.take(func(fa *Faults) *int { return &fa.LateWrites }) {
			runLate(ha, rq, time.Duration(fa.LateMS)*time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		ha.ServeHTTP(wr, rq)
	})
}

// contains tells whether a request's body contains a text; the body can be read
// again afterwards.
func contains(rq *http.Request, text string) bool {
	body, err := io.ReadAll(rq.Body)
	rq.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil && bytes.Contains(body, []byte(text))
}

// runLate carries a request out after a while; its sender hears nothing.
func runLate(ha http.Handler, rq *http.Request, late time.Duration) {
	later := rq.Clone(context.WithoutCancel(rq.Context()))
	time.AfterFunc(late, func() { ha.ServeHTTP(httptest.NewRecorder(), later) })
}

func (sw *FaultInjector) isWrite(rq *http.Request) bool {
	if sw.losable != nil {
		return sw.losable(rq)
	}
	return rq.Method == http.MethodPost
}

func (sw *FaultInjector) order(wr http.ResponseWriter, rq *http.Request) {
	var fa Faults
	if err := json.NewDecoder(rq.Body).Decode(&fa); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	sw.SetFaults(fa)
}

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
