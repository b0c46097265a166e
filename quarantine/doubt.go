package quarantine

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// maxDoubted is the number of runs of endpoints of which doubts are kept, and maxDoubts that
	// of doubts of one of them.
	maxDoubted = 1024
	maxDoubts  = 64
	// doubtTTL is how long after its end an answer may turn out to have broken off. Most endpoints
	// are asked again in that time.
	doubtTTL = 5 * time.Second
)

// doubts holds answers of which only the end of the connection showed the end. They were whole if
// their endpoint goes on, and broken off if it has crashed. It is safe for concurrent use.
type doubts struct {
	mu    sync.Mutex
	byRun *lru.Cache[policy.EndpointRun, []Break]
}

func newDoubts() *doubts { return &doubts{byRun: newCache[policy.EndpointRun, []Break](maxDoubted)} }

// add adds an answer that ended at br.At.
func (do *doubts) add(run policy.EndpointRun, br Break) {
	do.mu.Lock()
	defer do.mu.Unlock()
	brs, _ := do.byRun.Get(run)
	if len(brs) < maxDoubts {
		do.byRun.Add(run, append(brs, br))
	}
}

// take removes and returns the answers of an endpoint that ended before a time.
func (do *doubts) take(run policy.EndpointRun, before time.Time) []Break {
	do.mu.Lock()
	defer do.mu.Unlock()
	brs, _ := do.byRun.Get(run)
	var out, rest []Break
	for _, br := range brs {
		if br.At.Before(before) {
			out = append(out, br)
		} else {
			rest = append(rest, br)
		}
	}
	if len(out) > 0 {
		do.byRun.Add(run, rest)
	}
	return out
}

// Ended records that an answer ended with its connection, which may be the crash of the endpoint.
func (li *List) Ended(run policy.EndpointRun, br Break) { li.doubts.add(run, br) }

// Alive records that an endpoint has answered a request that was sent at a time: answers that ended
// before it were whole.
func (li *List) Alive(now time.Time, run policy.EndpointRun, sentAt time.Time) {
	for _, br := range li.doubts.take(run, sentAt) {
		li.Proven(now, br.Service, br.Subjects)
	}
}

// Dead records that an endpoint broke a connection or refused one: answers that ended with theirs
// shortly before had broken off.
func (li *List) Dead(now time.Time, run policy.EndpointRun) {
	for _, br := range li.doubts.take(run, now) {
		if now.Sub(br.At) < doubtTTL {
			li.Crashed(now, br)
		}
	}
}
