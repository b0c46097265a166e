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
		if wo.own && now.Sub(wo.at) < wordTTL {
			ms.Limits = append(ms.Limits, &rpc.EndpointLimit{
				Endpoint: string(id), PerSecond: float64(wo.rate), Ended: wo.ended, AgeMs: now.Sub(wo.at).Milliseconds(),
			})
		}
	}
	skip := len(ms.GetLimits()) == 0 && !li.published
	li.published = len(ms.GetLimits()) > 0
	li.mu.Unlock()
	if !skip {
		li.group.Publish(limitPrefix+string(li.group.VM()), ms)
	}
}

// Refresh applies what the other routers have published, forgets endpoints that are gone
// or have named no limit for a while, and divides the limits among the routers.
func (li *Limits) Refresh(now time.Time) {
	words := li.peerWords()
	si := li.site(now)
	li.mu.Lock()
	defer li.mu.Unlock()
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
		if _, ok := si.policy.Endpoints.ByID(id); !ok || wo.ended && now.Sub(wo.at) > wordTTL {
			delete(li.known, id)
			continue
		}
		wo.bucket.SetShare(now, si.shareOf(id, wo))
	}
	li.size.Store(int64(len(li.known)))
}

// peerWords returns the newest word of each endpoint that the other routers published.
func (li *Limits) peerWords() map[policy.EndpointID]word {
	out := map[policy.EndpointID]word{}
	own := limitPrefix + string(li.group.VM())
	for _, it := range li.group.Table().List(limitPrefix) {
		var ms rpc.EndpointLimits
		if it.Key == own || proto.Unmarshal(it.Value, &ms) != nil {
			continue
		}
		for _, el := range ms.GetLimits() {
			id := policy.EndpointID(el.GetEndpoint())
			at := quantity.Ago(it.WrittenAt, el.GetAgeMs())
			if old, ok := out[id]; !ok || at.After(old.at) {
				out[id] = word{rate: Rate(el.GetPerSecond()), ended: el.GetEnded(), at: at}
			}
		}
	}
	return out
}
