package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ReplicaOptions describe a replica as the users' platform has them.
type ReplicaOptions struct {
	ID string
	// Events is how many events its streams have, Gap the time between them.
	Events int
	Gap    time.Duration
	// Delay is the time until an answer begins.
	Delay time.Duration
	// Confidence is by model; a model that is missing tells none.
	Confidence map[string]string
}

// ReplicaFaults are a replica's faults. The zero value has none.
type ReplicaFaults struct {
	// Status replaces the status of every answer.
	Status int
	// NotRun makes it refuse every request, truthfully.
	NotRun bool
	// NotRunModel makes it refuse so the requests for one model.
	NotRunModel string
	// CutAfter breaks streams after so many events, within the next one.
	CutAfter int
	// Silent makes it run requests and never answer.
	Silent bool
	// OtherRequestID is the request id that its answers carry instead.
	OtherRequestID string
	// Unsigned leaves out what marks an answer as the service's own.
	Unsigned bool
	// Truncated breaks whole answers in the middle.
	Truncated bool
}

// ReplicaRun is one request that a replica ran.
type ReplicaRun struct {
	Request string
	Header  http.Header
	Target  string
	Body    string
	At      time.Time
	// Disconnected tells that the caller went before the end.
	Disconnected bool
}

// Replica stands in for a replica of the users' platform.
//
// mu guards faults and runs. No other lock is taken while it is held.
type Replica struct {
	opt    ReplicaOptions
	mu     sync.Mutex
	faults ReplicaFaults
	runs   []*ReplicaRun
}

// NewReplica gives a replica.
func NewReplica(opt ReplicaOptions) *Replica { return &Replica{opt: opt} }

// SetFaults replaces the faults.
func (re *Replica) SetFaults(fa ReplicaFaults) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.faults = fa
}

// Runs gives the requests that were run.
func (re *Replica) Runs() []ReplicaRun {
	re.mu.Lock()
	defer re.mu.Unlock()
	var out []ReplicaRun
	for _, ru := range re.runs {
		out = append(out, *ru)
	}
	return out
}

// Handler serves requests.
func (re *Replica) Handler() http.Handler { return http.HandlerFunc(re.serve) }

func (re *Replica) serve(wr http.ResponseWriter, rq *http.Request) {
	body := make([]byte, max(0, rq.ContentLength))
	if _, err := rq.Body.Read(body); err != nil && len(body) == 0 {
		body = nil
	}
	re.mu.Lock()
	fa := re.faults
	re.mu.Unlock()
	he := wr.Header()
	he.Set("Instance-Id", re.opt.ID)
	if want := rq.Header.Get("Expect-Instance"); want != "" && want != re.opt.ID {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fa.NotRun || fa.NotRunModel != "" && fa.NotRunModel == rq.Header.Get("Model") {
		he.Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ru := &ReplicaRun{Request: rq.Header.Get("Attempt-Id"), Header: rq.Header, Target: rq.RequestURI, Body: string(body), At: time.Now()}
	re.mu.Lock()
	re.runs = append(re.runs, ru)
	re.mu.Unlock()
	if fa.Silent || !wait(rq, re.opt.Delay) {
		<-rq.Context().Done()
		re.left(ru)
		panic(http.ErrAbortHandler)
	}
	re.answer(wr, rq, ru, fa)
}

func (re *Replica) left(ru *ReplicaRun) {
	re.mu.Lock()
	defer re.mu.Unlock()
	ru.Disconnected = true
}

// wait lets time pass; false when the caller left meanwhile.
func wait(rq *http.Request, du time.Duration) bool {
	if du == 0 {
		return true
	}
	tm := time.NewTimer(du)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-rq.Context().Done():
		return false
	}
}

func (re *Replica) answer(wr http.ResponseWriter, rq *http.Request, ru *ReplicaRun, fa ReplicaFaults) {
	he := wr.Header()
	he.Set("Attempt-Id", ru.Request)
	if fa.OtherRequestID != "" {
		he.Set("Attempt-Id", fa.OtherRequestID)
	}
	if !fa.Unsigned {
		he.Set("Response-Signature", "signed-by-"+re.opt.ID)
	}
	if co, ok := re.opt.Confidence[rq.Header.Get("Model")]; ok {
		he.Set("Confidence", co)
	}
	switch {
	case fa.Status != 0:
		wr.WriteHeader(fa.Status)
	case re.opt.Events > 0:
		re.stream(wr, rq, ru, fa)
	case fa.Truncated:
		he.Set("Content-Length", "100")
		_, _ = wr.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	default:
		_, _ = fmt.Fprintf(wr, "whole answer to %s", ru.Request)
	}
}

func (re *Replica) stream(wr http.ResponseWriter, rq *http.Request, ru *ReplicaRun, fa ReplicaFaults) {
	wr.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	rc := http.NewResponseController(wr)
	for n := first + 1; n <= re.opt.Events; n++ {
		if fa.CutAfter > 0 && n > first+fa.CutAfter {
			_, _ = fmt.Fprintf(wr, "id: %d\ndata: tor", n)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(wr, "id: %d\ndata: piece %d of %s\n\n", n, n, ru.Request)
		if rc.Flush() != nil || !wait(rq, re.opt.Gap) {
			re.left(ru)
			panic(http.ErrAbortHandler)
		}
	}
}
