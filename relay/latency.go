package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

const (
	// initialBase and initialPerToken are used until answers have been observed.
	initialBase     = 40 * time.Millisecond
	initialPerToken = 40 * time.Microsecond
	// minLongPrompt is the number of tokens from which a prompt is used to measure
	// the time per token; shorter ones measure the base.
	minLongPrompt = 1000
	// fallSmoothing and riseSmoothing are the weights of a measurement below and
	// above the estimate. The estimate is of an idle endpoint, and queueing only
	// ever adds to a measurement, so it rises more slowly than it falls.
	fallSmoothing = 0.2
	riseSmoothing = 0.03
)

// latencyKey identifies the requests that share a latency estimate.
type latencyKey struct {
	service policy.ServiceID
	model   policy.ModelID
}

// latency is the estimated time until an idle endpoint's answer begins, in
// seconds: a base, and the time for each token of the prompt.
type latency struct {
	base     float64
	perToken float64
}

// latencies estimates from observed answers how long idle endpoints take.
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

// estimate returns the time in seconds until the answer to a prompt begins, and
// how much of it is spent on processing part of the prompt's tokens.
func (ls *latencies) estimate(key latencyKey, tokens, part policy.Tokens) (total, ofPart placement.Work) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	la := ls.get(key)
	return placement.Work(la.base + la.perToken*float64(tokens)), placement.Work(la.perToken * float64(part))
}

// observe updates the estimate with an answer that took this long to begin.
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

// maxTokens is the length of the longest prompts and answers of which routers expect anything.
const maxTokens = 1 << 20

// promptTokens returns the length of a call's prompt as its caller states it. It returns false, and
// a length of 0, if no endpoint of the service can hold such a prompt: what callers state is not
// checked, and the estimates are used for all of them.
func (ca *call) promptTokens() (policy.Tokens, bool) {
	longest := policy.Tokens(maxTokens)
	if held := ca.service.GetEngine().GetMemoryTokens(); held > 0 {
		longest = min(longest, policy.Tokens(held))
	}
	tokens := tokensOf(ca.request.Prompt)
	if tokens > longest {
		return 0, false
	}
	return tokens, true
}

// job returns the work of a call for an endpoint.
func (ro *Router) job(ca *call) placement.Job {
	tokens, ok := ca.promptTokens()
	part := policy.Tokens(0)
	if ok {
		part = ca.request.prefixTokens()
	}
	work, cached := ro.latencies.estimate(latencyKey{ca.service.ID, ca.modelID()}, tokens, part)
	return placement.Job{Prefix: ca.request.prefix(ca.modelID()), Work: work, CacheSaving: cached}
}

// observeLatency updates the estimates with a call's answer that took this long to begin.
func (ro *Router) observeLatency(ca *call, took time.Duration) {
	if tokens, ok := ca.promptTokens(); ok {
		ro.latencies.observe(latencyKey{ca.service.ID, ca.modelID()}, tokens, took)
	}
}

func smooth(old, measured float64) float64 {
	measured = max(0, measured)
	if measured < old {
		return old + fallSmoothing*(measured-old)
	}
	return old + riseSmoothing*(measured-old)
}
