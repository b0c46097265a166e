package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

const (
	// firstBase and firstPerToken are assumed until answers have begun.
	firstBase     = 40 * time.Millisecond
	firstPerToken = 40 * time.Microsecond
	// longPrompt is the tokens from which a prompt tells of the time a token takes.
	longPrompt = 1000
	// fallSmoothing and riseSmoothing weigh a new measurement below and above
	// the estimate: waiting only ever adds to what is measured.
	fallSmoothing = 0.2
	riseSmoothing = 0.03
)

// paceKey is what the time until an answer depends on.
type paceKey struct {
	service policy.ServiceID
	model   policy.ModelID
}

// pace is the time that an idle endpoint takes until it answers, in seconds.
type pace struct {
	base     float64
	perToken float64
}

// paces learns from answers how long idle endpoints take.
//
// mu guards the map. No other lock is taken while it is held.
type paces struct {
	mu    sync.Mutex
	byKey map[paceKey]pace
}

func newPaces() *paces { return &paces{byKey: map[paceKey]pace{}} }

func (ps *paces) get(key paceKey) pace {
	if pa, ok := ps.byKey[key]; ok {
		return pa
	}
	return pace{base: firstBase.Seconds(), perToken: firstPerToken.Seconds()}
}

// expect gives the time until an answer to a prompt, and the part of it that
// reading some of its tokens takes.
func (ps *paces) expect(key paceKey, tokens, part policy.Tokens) (whole, ofPart placement.Work) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	pa := ps.get(key)
	return placement.Work(pa.base + pa.perToken*float64(tokens)), placement.Work(pa.perToken * float64(part))
}

// observe learns from an answer that began after a time.
func (ps *paces) observe(key paceKey, tokens policy.Tokens, took time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	pa := ps.get(key)
	if tokens < longPrompt {
		pa.base = drift(pa.base, took.Seconds()-pa.perToken*float64(tokens))
	} else {
		pa.perToken = drift(pa.perToken, (took.Seconds()-pa.base)/float64(tokens))
	}
	ps.byKey[key] = pa
}

func drift(have, measured float64) float64 {
	measured = max(0, measured)
	if measured < have {
		return have + fallSmoothing*(measured-have)
	}
	return have + riseSmoothing*(measured-have)
}
