package limit

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// brittlePrefix is the key prefix under which each router publishes what it knows of
	// brittle services: brittle/VM.
	brittlePrefix = "brittle/"
	// refusalTTL is how long a refusal is told to the other routers.
	refusalTTL = 5 * time.Second
)

// Publish publishes what this router was told by endpoints of brittle services.
func (br *Brittle) Publish(now time.Time) {
	ms := &rpc.BrittleServices{}
	br.mu.Lock()
	for id, se := range br.services {
		if se.word.own && now.Sub(se.word.at) < wordTTL {
			ms.Services = append(ms.Services, se.message(now, id))
		}
	}
	skip := len(ms.GetServices()) == 0 && !br.published
	br.published = len(ms.GetServices()) > 0
	br.mu.Unlock()
	if !skip {
		br.group.Publish(brittlePrefix+string(br.group.VM()), ms)
	}
}

func (se *brittleService) message(now time.Time, id policy.ServiceID) *rpc.BrittleService {
	out := &rpc.BrittleService{
		Service: string(id), Refusals: int64(se.word.refusals), Ended: se.word.ended, AgeMs: now.Sub(se.word.at).Milliseconds(),
	}
	for en, be := range se.endpoints {
		if be.refusedOwn && now.Sub(be.refusedAt) < refusalTTL {
			out.Refused = append(out.Refused, &rpc.RefusedForRoom{
				Endpoint: string(en), Places: int64(be.room.Places()), AgeMs: now.Sub(be.refusedAt).Milliseconds(),
			})
		}
	}
	return out
}

// Refresh applies what the other routers have published, and forgets services that nobody has
// heard of for a while.
func (br *Brittle) Refresh(now time.Time) {
	si := br.holder.Set()
	br.mu.Lock()
	for id, se := range br.services {
		if now.Sub(se.word.at) > wordTTL && !br.joining(now) {
			delete(br.services, id)
		}
	}
	br.count()
	br.noteRouters(now)
	br.mu.Unlock()
	own := brittlePrefix + string(br.group.VM())
	for _, it := range br.group.Table().List(brittlePrefix) {
		var ms rpc.BrittleServices
		if it.Key == own || proto.Unmarshal(it.Value, &ms) != nil {
			continue
		}
		for _, bs := range ms.GetServices() {
			br.apply(now, it.WrittenAt, si, bs)
		}
	}
}

// The bounds of what other routers say: of the refusals in a second that endpoints bear, and of
// the places of an endpoint.
var (
	refusalBounds = quantity.Bounds[int64]{Min: 0, Max: math.MaxInt32}
	placeBounds   = quantity.Bounds[int64]{Min: 0, Max: 1 << 20}
)

// apply applies another router's word of a service, written at a time.
func (br *Brittle) apply(now, writtenAt time.Time, set *policy.Set, bs *rpc.BrittleService) {
	id, at := policy.ServiceID(bs.GetService()), quantity.Ago(writtenAt, bs.GetAgeMs())
	if now.Sub(at) > wordTTL {
		return
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	se, ok := br.services[id]
	if !bs.GetEnded() && (!ok || at.After(se.word.at)) || bs.GetEnded() && ok && !se.word.at.IsZero() && at.After(se.word.at) {
		br.update(id, brittleWord{refusals: int(refusalBounds.Clamp(bs.GetRefusals())), ended: bs.GetEnded(), at: at})
	}
	se = br.guarded(now, id)
	if se == nil {
		return
	}
	for _, rf := range bs.GetRefused() {
		if en, ok := set.Endpoints.ByID(policy.EndpointID(rf.GetEndpoint())); ok {
			se.endpoint(now, en).refusedElsewhere(now, quantity.Ago(writtenAt, rf.GetAgeMs()), int(placeBounds.Clamp(rf.GetPlaces())))
		}
	}
}

// refusedElsewhere records that an endpoint refused another router's request at a time, and
// for how many requests it had room.
func (be *brittleEndpoint) refusedElsewhere(now, at time.Time, places int) {
	if now.Sub(at) > refusalTTL || !at.After(be.refusedAt) {
		return
	}
	be.room = be.room.atMost(now, float64(places))
	be.refusedAt, be.refusedOwn = at, false
	if until := at.Add(minSpare); until.After(be.sparedUntil) {
		be.sparedUntil = until
	}
}
