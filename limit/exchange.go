package limit

import (
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// limitPrefix is the key prefix under which each router publishes what endpoints told it
// of their limits: limit/VM.
const limitPrefix = "limit/"

// Publish publishes what endpoints told this router to the other routers.
func (li *Limits) Publish(now time.Time) {
	ms := &rpc.EndpointLimits{}
	li.mu.Lock()
	for id, wo := range li.known {
		if wo.cold.own && now.Sub(wo.cold.at) < wordTTL {
			ms.Cold = append(ms.Cold, &rpc.ColdEndpoint{
				Endpoint: string(id), StartedAtMs: wo.cold.registered.GetStartedAtMs(),
				RemainingMs: max(0, wo.cold.until.Sub(now)).Milliseconds(), AgeMs: now.Sub(wo.cold.at).Milliseconds(),
			})
		}
		if wo.own && now.Sub(wo.at) < wordTTL {
			ms.Limits = append(ms.Limits, &rpc.EndpointLimit{
				Endpoint: string(id), PerSecond: float64(wo.rate), Ended: wo.ended, AgeMs: now.Sub(wo.at).Milliseconds(),
			})
		}
	}
	some := len(ms.GetLimits())+len(ms.GetCold()) > 0
	skip := !some && !li.published
	li.published = some
	li.mu.Unlock()
	if !skip {
		li.group.Publish(limitPrefix+string(li.group.VM()), ms)
	}
}

// Refresh applies what the other routers have published, forgets endpoints that are gone
// or have named no limit for a while, and divides the limits among the routers.
func (li *Limits) Refresh(now time.Time) {
	words, cold := li.peerWords()
	si := li.site(now)
	li.mu.Lock()
	defer li.mu.Unlock()
	li.roster.note(now, si.routers)
	for er, next := range cold {
		li.applyAnswer(now, er, next)
	}
	for id, next := range words {
		wo, ok := li.known[id]
		switch {
		case ok && !next.at.After(wo.at):
		case !next.ended:
			li.update(si, id, next)
		case ok && !wo.ended:
			li.end(id, wo, next.at, false)
		}
	}
	for id, wo := range li.known {
		en, ok := si.policy.Endpoints.ByID(id)
		wo.notePresence(now, ok)
		if wo.goneFor(now) > goneMemory || wo.idle(now) && en.GetColdRemainingMs() <= 0 {
			delete(li.known, id)
			continue
		}
		if ok {
			li.divideCold(now, en, wo)
		}
		wo.share = si.shareOf(id, wo)
		wo.updateBucket(now)
	}
	li.size.Store(int64(len(li.known)))
}

// goneMemory is how long the limit of an endpoint is kept that is missing in the policy: routers
// may go on to use it for as long as the setting lapse_grace says, which is no more.
const goneMemory = time.Minute

// goneFor returns how long the endpoint has been missing in the policy, 0 if it is there.
func (wo *word) goneFor(now time.Time) time.Duration {
	if wo.goneAt.IsZero() {
		return 0
	}
	return now.Sub(wo.goneAt)
}

// notePresence records whether the endpoint is in the policy.
func (wo *word) notePresence(now time.Time, present bool) {
	switch {
	case present:
		wo.goneAt = time.Time{}
	case wo.goneAt.IsZero():
		wo.goneAt = now
	}
}

// idle reports whether the endpoint has named no limit and not been cold for a while. The registration
// of a cold one that was written long ago must not be taken for a new one.
func (wo *word) idle(now time.Time) bool {
	return wo.ended && now.Sub(wo.at) > wordTTL && now.Sub(wo.cold.until) > wordTTL
}

// peerWords returns the newest words that the other routers published: of each endpoint's limit, and
// of the coldness of each endpoint's run.
func (li *Limits) peerWords() (map[policy.EndpointID]word, map[policy.EndpointRun]coldWord) {
	words, cold := map[policy.EndpointID]word{}, map[policy.EndpointRun]coldWord{}
	own := limitPrefix + string(li.group.VM())
	for _, it := range li.group.Table().List(limitPrefix) {
		ms := &rpc.EndpointLimits{}
		if it.Key == own || proto.Unmarshal(it.Value, ms) != nil {
			continue
		}
		addWords(words, it.WrittenAt, ms.GetLimits())
		addColdWords(cold, it.WrittenAt, ms.GetCold())
	}
	return words, cold
}

// addWords adds what a message says of limits, as far as it is newer.
func addWords(words map[policy.EndpointID]word, writtenAt time.Time, els []*rpc.EndpointLimit) {
	for _, el := range els {
		id, at := policy.EndpointID(el.GetEndpoint()), quantity.Ago(writtenAt, el.GetAgeMs())
		if old, ok := words[id]; !ok || at.After(old.at) {
			words[id] = word{rate: Rate(el.GetPerSecond()), ended: el.GetEnded(), at: at}
		}
	}
}

// addColdWords adds what a message says of coldness, as far as it is newer.
func addColdWords(cold map[policy.EndpointRun]coldWord, writtenAt time.Time, ces []*rpc.ColdEndpoint) {
	for _, ce := range ces {
		er := policy.EndpointRun{ID: policy.EndpointID(ce.GetEndpoint()), StartedAtMs: ce.GetStartedAtMs()}
		at := quantity.Ago(writtenAt, ce.GetAgeMs())
		if old, ok := cold[er]; !ok || at.After(old.at) {
			cold[er] = coldWord{at: at, until: writtenAt.Add(coldBounds.Clamp(quantity.Milliseconds(ce.GetRemainingMs())))}
		}
	}
}
