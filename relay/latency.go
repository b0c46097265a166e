package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

const (
	// initialBase and firstPerToken are assumed until answers have begun.
	initialBase     = 40 * time.Millisecond
	initialPerToken = 40 * time.Microsecond
	// minLongPrompt is the tokens from which a prompt tells of the time a token takes.
	minLongPrompt = 1000
	// fallSmoothing and riseSmoothing weigh a new measurement below and above
	// the estimate: waiting only ever adds to what is measured.
	fallSmoothing = 0.2
	riseSmoothing = 0.03
)

// latencyKey is what the time until an answer depends on.
type latencyKey struct {
	service policy.ServiceID
	model   policy.ModelID
}

// latency is the time that an idle endpoint takes until it answers, in seconds.
type latency struct {
	base     float64
	perToken float64
}

// latencies learns from answers how long idle endpoints take.
//
// mu guards the map. No other lock is taken while it is held.
type latencies struct {
	mu    sync.Mutex
	byKey map[latencyKey]latency
}

func newLatencies() *latencies { return &latencies{byKey: map[latencyKey]latency{}} }

func (ls *latencies) get(key latencyKey) latency {
	if la, ok := ls.byKey[key]; ok {
		return la
	}
	return latency{base: initialBase.Seconds(), perToken: initialPerToken.Seconds()}
}

// estimate gives the time until an answer to a prompt, and the part of it that
// reading some of its tokens takes.
func (ls *latencies) estimate(key latencyKey, tokens, part policy.Tokens) (total, ofPart placement.Work) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	la := ls.get(key)
	return placement.Work(la.base + la.perToken*float64(tokens)), placement.Work(la.perToken * float64(part))
}

// observe learns from an answer that began after a time.
func (ls *latencies) observe(key latencyKey, tokens policy.Tokens, took time.Duration) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	la := ls.get(key)
	if tokens < minLongPrompt {
		la.base = smooth(la.base, took.Seconds()-la.perToken*float64(tokens))
	} else {
		la.perToken = smooth(la.perToken, (took.Seconds()-la.base)/float64(tokens))
	}
	ls.byKey[key] = la
}

func smooth(old, measured float64) float64 {
	measured = max(0, measured)
	if measured < old {
		return old + fallSmoothing*(measured-old)
	}
	return old + riseSmoothing*(measured-old)
}
