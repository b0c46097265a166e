package limit

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

const (
	// divisionLifetime is how long a division of places is used.
	divisionLifetime = 400 * time.Millisecond
	// raiseDelay is how long a router waits before it uses more places of an endpoint, until
	// the other routers know too that they have fewer.
	raiseDelay = 2 * time.Second
	// routerMemory is how long a router that is not heard of any more keeps its places: it may
	// only be out of touch with this one.
	routerMemory = 12 * time.Second
	// abandonedTime is how long an endpoint may go on with a request after its connection
	// was closed.
	abandonedTime = 1500 * time.Millisecond
	// spareFactor times the number of routers, divided by the refusals that an endpoint
	// bears in a second, is the time in seconds for which a router that was refused for want
	// of room spares the endpoint. All together thus cause half of what it bears.
	spareFactor = 2
	// UnheardTime is how long a router that has just started treats a service as brittle from
	// its first request on, while there is no answer that tells. Sound endpoints may be silent
	// for longer, and have room.
	UnheardTime = 300 * time.Millisecond
	// minProbeRefusals is how many refusals in a second an endpoint bears at least at which
	// routers without a place there try whether it has more room: until all know of a refusal,
	// another may come.
	minProbeRefusals = 3
	minSpare         = time.Second
	maxSpare         = 8 * time.Second
)

// Brittle holds the services whose endpoints are brittle: one that refuses more than a few
// requests in a second for want of room falls over. It divides what the endpoints have room
// for among the routers. It is safe for concurrent use.
//
// mu guards services, routers and published. The locks of the peers are taken after it.
type Brittle struct {
	group     *peer.Group
	holder    *configuration.Holder
	log       *event.Log
	startedAt time.Time

	mu       sync.Mutex
	services map[policy.ServiceID]*brittleService
	// routers holds the routers, with the time at which each was last known to live.
	routers map[vm.ID]time.Time
	// known is the number of services that are brittle, for readers that need no more.
	known atomic.Int64
	// published reports whether the last message to the peers had anything.
	published bool
}

// brittleWord is what answers of a service's endpoints say.
type brittleWord struct {
	// refusals is how many in a second each endpoint bears; ended reports whether the
	// endpoints are not brittle any more.
	refusals int
	ended    bool
	// at is when the answer arrived at a router, own whether at this one.
	at  time.Time
	own bool
}

type brittleService struct {
	// unheardUntil is until when the service counts as brittle without any word of it.
	unheardUntil time.Time
	word         brittleWord
	division     Division
	dividedAt    time.Time
	dividedFor   *policy.Set
	endpoints    map[policy.EndpointID]*brittleEndpoint
	// lackedAt is when requests last waited at an endpoint while slots were free.
	lackedAt time.Time
}

type brittleEndpoint struct {
	room Room
	// share is the number of places that this router uses, raisedAt when it was first found
	// to be too small; zero if it is not.
	share    int
	raisedAt time.Time
	// overfull is the part of the requests last reported there for which it lacks the room.
	overfull float64
	// taken holds until when places stay taken although their requests have ended at this router.
	taken []time.Time
	// refusedAt is when it last refused a request for want of room, own whether one of this
	// router's. sparedUntil is when this router may send to it again.
	refusedAt   time.Time
	refusedOwn  bool
	sparedUntil time.Time
}

// NewBrittle returns an empty set.
func NewBrittle(now time.Time, gr *peer.Group, ho *configuration.Holder, lo *event.Log) *Brittle {
	return &Brittle{
		group: gr, holder: ho, log: lo, startedAt: now,
		services: map[policy.ServiceID]*brittleService{}, routers: map[vm.ID]time.Time{},
	}
}

// Named records that an endpoint said in an answer how many refusals in a second it bears.
func (br *Brittle) Named(now time.Time, en policy.Endpoint, refusals int) {
	br.mu.Lock()
	defer br.mu.Unlock()
	br.update(policy.ServiceID(en.Service), brittleWord{refusals: refusals, at: now, own: true})
}

// NotNamed records that an endpoint's answer, to a request that was sent at a time, says
// nothing of brittleness. Only a success ends the word of it, and only if its request is newer;
// any answer shows that a service of which nothing was known is not brittle.
func (br *Brittle) NotNamed(now, sentAt time.Time, en policy.Endpoint, success bool) {
	if !br.active(now) {
		return
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	se, ok := br.services[policy.ServiceID(en.Service)]
	if ok && (se.word.ended || sentAt.Before(se.word.at) || !se.word.at.IsZero() && !success) {
		return
	}
	br.update(policy.ServiceID(en.Service), brittleWord{ended: true, at: now, own: true})
}

// update replaces what is known of a service by a newer word. The caller holds mu.
func (br *Brittle) update(id policy.ServiceID, next brittleWord) {
	se, ok := br.services[id]
	if !ok {
		se = &brittleService{endpoints: map[policy.EndpointID]*brittleEndpoint{}}
		br.services[id] = se
	}
	was := !se.word.at.IsZero() && !se.word.ended
	switch {
	case !next.ended && (!was || se.word.refusals != next.refusals):
		br.log.InfoLimited(event.ServiceBrittle, event.Fields{"service": id, "refusals": next.refusals, "own": next.own})
	case next.ended && was:
		br.log.InfoLimited(event.ServiceNotBrittle, event.Fields{"service": id, "own": next.own})
	}
	if next.ended {
		clear(se.endpoints)
	}
	se.word = next
	br.count()
}

// count counts the services that are brittle. The caller holds mu.
func (br *Brittle) count() {
	n := int64(0)
	for _, se := range br.services {
		if !se.word.ended {
			n++
		}
	}
	br.known.Store(n)
}

// joining reports whether this router has started so recently that it may not have heard of
// what the others know.
func (br *Brittle) joining(now time.Time) bool { return now.Sub(br.startedAt) < joinTime }

// active reports whether places may be divided at all.
func (br *Brittle) active(now time.Time) bool { return br.known.Load() > 0 || br.joining(now) }

// guarded returns the state of a service whose places are divided, nil if they are not: the
// service is brittle, or this router has just started, and has heard no answer of it since the
// first request, UnheardTime ago at most. The caller holds mu.
func (br *Brittle) guarded(now time.Time, id policy.ServiceID) *brittleService {
	se, ok := br.services[id]
	switch {
	case ok && !se.word.ended && (now.Sub(se.word.at) < wordTTL || now.Before(se.unheardUntil)):
		return se
	case ok || !br.joining(now):
		return nil
	}
	se = &brittleService{unheardUntil: now.Add(UnheardTime), word: brittleWord{refusals: 1}, endpoints: map[policy.EndpointID]*brittleEndpoint{}}
	br.services[id] = se
	return se
}

// Guard is whether the places of a service's endpoints are divided.
type Guard int

// The values of Guard.
const (
	// NotGuarded: the endpoints are not brittle.
	NotGuarded Guard = iota
	// GuardedUnheard: this router has just started and heard no answer of the service.
	GuardedUnheard
	// GuardedBrittle: the endpoints are brittle.
	GuardedBrittle
)

// Guard returns whether the places of a service's endpoints are divided.
func (br *Brittle) Guard(now time.Time, id policy.ServiceID) Guard {
	if !br.active(now) {
		return NotGuarded
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	se := br.guarded(now, id)
	switch {
	case se == nil:
		return NotGuarded
	case se.word.at.IsZero():
		return GuardedUnheard
	default:
		return GuardedBrittle
	}
}

// Allowance is what this router may send to an endpoint.
type Allowance struct {
	// Places is the number of requests that it may have there at once, if Guarded is true.
	Guarded bool
	Places  int
	// SparedUntil is when it may send there again, zero for now.
	SparedUntil time.Time
}

// Allowance returns what this router may send to an endpoint.
func (br *Brittle) Allowance(now time.Time, en policy.Endpoint) Allowance {
	if !br.active(now) {
		return Allowance{}
	}
	set := br.holder.Set()
	br.mu.Lock()
	defer br.mu.Unlock()
	id := policy.ServiceID(en.Service)
	se := br.guarded(now, id)
	if se == nil {
		return Allowance{}
	}
	br.divide(now, set, id, se)
	be := se.endpoint(now, en)
	if be.share == 0 && se.word.refusals >= minProbeRefusals {
		be.room = be.room.Unreported(now)
	}
	be.setShare(now, se.division.Share(en.ID, be.room.Places()))
	al := Allowance{Guarded: true, Places: be.share - be.stillTaken(now)}
	if se.word.at.IsZero() {
		// Until the first answer each router may try every endpoint.
		al.Places = max(1, al.Places)
	}
	if be.sparedUntil.After(now) {
		al.SparedUntil = be.sparedUntil
	}
	return al
}

// noteRouters notes which routers live, and forgets those that have not for routerMemory. The
// caller holds mu.
func (br *Brittle) noteRouters(now time.Time) {
	for _, ho := range br.group.Holders() {
		br.routers[ho.VM] = now
	}
	maps.DeleteFunc(br.routers, func(_ vm.ID, at time.Time) bool { return now.Sub(at) > routerMemory })
}

// divide divides the places of a service's endpoints anew if the policy has changed or the
// division is old. The caller holds mu.
func (br *Brittle) divide(now time.Time, set *policy.Set, id policy.ServiceID, se *brittleService) {
	if se.dividedFor == set && now.Sub(se.dividedAt) < divisionLifetime {
		return
	}
	var ens []policy.Endpoint
	for _, en := range set.Endpoints.List() {
		if policy.ServiceID(en.Service) == id {
			ens = append(ens, en)
		}
	}
	minRouters := 0
	if br.joining(now) {
		minRouters = max(assumedRouters, len(ens))
	}
	br.noteRouters(now)
	se.division = Divide(slices.Collect(maps.Keys(br.routers)), br.group.VM(), minRouters, ens)
	se.dividedFor, se.dividedAt = set, now
}

// endpoint returns the state of an endpoint, which it creates when there is none.
func (se *brittleService) endpoint(now time.Time, en policy.Endpoint) *brittleEndpoint {
	be, ok := se.endpoints[en.ID]
	if !ok {
		be = &brittleEndpoint{room: NewRoom(now, int(en.Slots)), share: -1}
		se.endpoints[en.ID] = be
	}
	return be
}

// setShare replaces the share: a smaller one at once, a larger one after raiseDelay.
func (be *brittleEndpoint) setShare(now time.Time, share int) {
	switch {
	case be.share < 0 || share <= be.share:
		be.share, be.raisedAt = share, time.Time{}
	case be.raisedAt.IsZero():
		be.raisedAt = now
	case now.Sub(be.raisedAt) >= raiseDelay:
		be.share, be.raisedAt = share, time.Time{}
	}
}

// stillTaken returns how many places stay taken although their requests have ended at this router.
func (be *brittleEndpoint) stillTaken(now time.Time) int {
	be.taken = slices.DeleteFunc(be.taken, func(until time.Time) bool { return !until.After(now) })
	return len(be.taken)
}

// Reported records the load that an endpoint reported.
func (br *Brittle) Reported(now time.Time, en policy.Endpoint, oc Occupancy) {
	br.change(now, en, func(se *brittleService, be *brittleEndpoint) {
		be.room = be.room.SiblingLacked(se.lackedAt).Reported(now, oc)
		se.lackedAt = be.room.lackedAt
		be.overfull = be.room.Overfull(oc)
	})
}

// Abandoned records that a request was given up that an endpoint may still run.
func (br *Brittle) Abandoned(now time.Time, en policy.Endpoint) {
	br.change(now, en, func(_ *brittleService, be *brittleEndpoint) {
		be.taken = append(be.taken, now.Add(abandonedTime))
	})
}

// Served records that an endpoint has served a request that took some time there. While the endpoint
// has more requests than room, the request's place stays taken until as many have been served.
func (br *Brittle) Served(now time.Time, en policy.Endpoint, took time.Duration) {
	br.change(now, en, func(_ *brittleService, be *brittleEndpoint) {
		if be.overfull > 0 {
			be.taken = append(be.taken, now.Add(time.Duration(be.overfull*float64(took))))
		}
	})
}

// Refused records that an endpoint refused a request of this router for want of room. oc is the
// load that it reported, nil for none. Refused returns until when the endpoint is spared.
func (br *Brittle) Refused(now time.Time, en policy.Endpoint, oc *Occupancy) (until time.Time, ok bool) {
	br.change(now, en, func(se *brittleService, be *brittleEndpoint) {
		routers := max(1, len(br.routers))
		be.room = be.room.Refused(now, oc)
		be.refusedAt, be.refusedOwn = now, true
		be.sparedUntil = now.Add(SpareTime(routers, se.word.refusals))
		until, ok = be.sparedUntil, true
	})
	return until, ok
}

// SpareTime returns for how long a router that was refused spares an endpoint that bears so many
// refusals in a second.
func SpareTime(routers, refusals int) time.Duration {
	spare := time.Duration(spareFactor * float64(routers) / float64(max(1, refusals)) * float64(time.Second))
	return min(maxSpare, max(minSpare, spare))
}

// change changes the state of an endpoint of a service whose places are divided.
func (br *Brittle) change(now time.Time, en policy.Endpoint, fn func(se *brittleService, be *brittleEndpoint)) {
	if !br.active(now) {
		return
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	if se := br.guarded(now, policy.ServiceID(en.Service)); se != nil {
		fn(se, se.endpoint(now, en))
	}
}

// Refusals returns the refusals in a second that endpoints of brittle services bear.
func (br *Brittle) Refusals(now time.Time) map[policy.ServiceID]int {
	out := map[policy.ServiceID]int{}
	br.mu.Lock()
	defer br.mu.Unlock()
	for id, se := range br.services {
		if !se.word.ended && !se.word.at.IsZero() && now.Sub(se.word.at) < wordTTL {
			out[id] = se.word.refusals
		}
	}
	return out
}
