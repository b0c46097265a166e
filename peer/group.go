package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

// Incarnation names one run of a daemon; it is never used again.
type Incarnation string

// Roles of daemons.
const (
	RoleEntry   = "entry"
	RoleSteward = "steward"
	RoleRouter  = "router"
)

// Options say who a daemon is and whom it may meet.
type Options struct {
	Self        *rpc.Member
	SharedKey   string
	Interval    time.Duration
	Fanout      int
	FailedAfter time.Duration
	Seeds       []string
	// PeerAddresses gives the peers' addresses in the VM list.
	PeerAddresses func() []string
	// Describe fills in what changes about this daemon.
	Describe func(me *rpc.Member)
}

// Settings are the sections that the exchange needs.
type Settings interface {
	GetVm() *rpc.VMSection
	GetListen() *rpc.ListenSection
	GetPeers() *rpc.PeersSection
}

// OptionsOf gives the options that settings ask for, for a daemon of a role.
func OptionsOf(se Settings, role string) Options {
	ps := se.GetPeers()
	return Options{
		Self: &rpc.Member{
			Vm: se.GetVm().GetId(), Role: role, FailureDomain: se.GetVm().GetFailureDomain(),
			PeerAddress: se.GetListen().GetPeers(), AdminAddress: se.GetListen().GetAdmin(),
		},
		SharedKey: ps.GetSharedKey(), Interval: ps.GetInterval().AsDuration(), Fanout: int(ps.GetFanout()),
		FailedAfter: ps.GetFailedAfter().AsDuration(), Seeds: ps.GetSeeds(),
	}
}

// Group is this daemon's part in the exchange.
//
// mu guards progress, reached, known, sequence, current and settled. It is taken
// before the board's and the holder's locks, never after.
type Group struct {
	opt    Options
	board  *Table
	holder *configuration.Holder
	log    *event.Log
	client *http.Client
	fence  int64

	// size counts the daemons heard of, this one included.
	size atomic.Int64
	// behind takes the addresses of peers that have a newer policy.
	behind chan string

	mu       sync.Mutex
	sequence int64
	progress map[string]progress
	// reached holds when each member was last met directly.
	reached map[Incarnation]time.Time
	known   map[string]Member
	// current is the policy in force at the last round, settled at the one before.
	current store.Revision
	settled store.Revision
}

// progress is what an exchange with one address has come to.
type progress struct {
	incarnation string
	// seen is the peer's counter up to which this daemon has its items.
	seen int64
	// given is this daemon's counter up to which the peer has its items.
	given  int64
	failed bool
}

// NewGroup gives a group with a fresh incarnation.
func NewGroup(opt Options, ho *configuration.Holder, ne network.Network, lo *event.Log) *Group {
	opt.Self.Incarnation = ulid.Make().String()
	return &Group{
		opt: opt, board: NewTable(), holder: ho, log: lo, behind: make(chan string, 1),
		client:   ne.Client(2),
		fence:    time.Now().UnixMilli(),
		progress: map[string]progress{},
		reached:  map[Incarnation]time.Time{},
		known:    map[string]Member{},
	}
}

// Incarnation gives this daemon's own.
func (gr *Group) Incarnation() Incarnation { return Incarnation(gr.opt.Self.GetIncarnation()) }

// VM gives this daemon's VM.
func (gr *Group) VM() vm.ID { return vm.ID(gr.opt.Self.GetVm()) }

// Table gives the items.
func (gr *Group) Table() *Table { return gr.board }

// Close ends the pooled connections.
func (gr *Group) Close() { gr.client.CloseIdleConnections() }

// Publish writes an item of this daemon's own. Keys of several owners end in
// the owner's name. A value that has not changed is written again only now and
// then, but for a member's state, whose writes are its heartbeats.
func (gr *Group) Publish(key string, ms proto.Message) {
	gr.mu.Lock()
	gr.sequence++
	ve := Version{Fence: gr.fence, Sequence: gr.sequence}
	gr.mu.Unlock()
	gr.PublishVersion(key, ve, ms)
}

// PublishVersion writes an item whose order among several writers the caller gives.
func (gr *Group) PublishVersion(key string, ve Version, ms proto.Message) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(ms)
	if err != nil || gr.board.isFresh(key, ve.Fence, value, time.Now()) {
		return
	}
	gr.board.Put(key, ve, value, time.Now())
}

// Announce publishes this daemon's state at once and meets some peers.
func (gr *Group) Announce(ctx context.Context) {
	gr.announce()
	gr.round(ctx)
}

func (gr *Group) announce() { gr.Publish(memberKey(gr.opt.Self), gr.self()) }

func (gr *Group) self() *rpc.Member {
	me := proto.Clone(gr.opt.Self).(*rpc.Member)
	if gr.opt.Describe != nil {
		gr.opt.Describe(me)
	}
	return me
}

func memberKey(me *rpc.Member) string {
	return memberPrefix + me.GetRole() + "/" + me.GetVm()
}

// round meets the peers of one interval at the same time.
func (gr *Group) round(ctx context.Context) {
	gr.settle()
	wg := worker.NewGroup()
	for _, ad := range gr.pick() {
		wg.Go(func(context.Context) { gr.meet(ctx, ad) })
	}
	wg.Wait()
}

// pick chooses addresses at random, known members first; one of the others
// always has a place, so that parts of a site find each other again.
func (gr *Group) pick() []string {
	me := gr.opt.Self.GetPeerAddress()
	var live, others []string
	for _, mb := range gr.Members() {
		live = append(live, mb.PeerAddress)
	}
	candidates := slices.Clone(gr.opt.Seeds)
	if gr.opt.PeerAddresses != nil {
		candidates = append(candidates, gr.opt.PeerAddresses()...)
	}
	for _, it := range gr.board.List(memberPrefix) {
		candidates = append(candidates, it.member.PeerAddress)
	}
	for _, ad := range candidates {
		if ad != "" && ad != me && !slices.Contains(live, ad) && !slices.Contains(others, ad) {
			others = append(others, ad)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	fromOthers := min(len(others), max(1, gr.opt.Fanout-len(live)))
	fromLive := min(len(live), gr.opt.Fanout)
	return append(live[:fromLive], others[:fromOthers]...)
}

func (gr *Group) exchangeTimeout() time.Duration { return gr.opt.FailedAfter / 2 }

// meet exchanges with one peer, and fetches its policy when it is newer.
func (gr *Group) meet(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gr.exchangeTimeout())
	defer cancel()
	asked := time.Now()
	gr.mu.Lock()
	pr := gr.progress[address]
	gr.mu.Unlock()
	its, change := gr.board.since(pr.given, asked)
	rs, err := gr.Peer(address).Exchange(ctx, &rpc.ExchangeRequest{
		From: gr.self(), Items: its,
		SeenChange: pr.seen, SeenIncarnation: pr.incarnation,
		PolicyRevision: int64(gr.holder.Set().Revision), PolicyAgeMs: gr.policyAgeMS(asked),
	})
	if err != nil {
		gr.failedMeeting(ctx, address, err)
		return
	}
	gr.board.merge(rs.GetItems(), asked)
	gr.mu.Lock()
	gr.progress[address] = progress{incarnation: rs.GetFrom().GetIncarnation(), seen: rs.GetChange(), given: change}
	if pr.incarnation != "" && pr.incarnation != rs.GetFrom().GetIncarnation() {
		// The peer is new at this address and has none of the items given.
		gr.progress[address] = progress{incarnation: rs.GetFrom().GetIncarnation(), seen: rs.GetChange()}
	}
	gr.reached[Incarnation(rs.GetFrom().GetIncarnation())] = asked
	gr.mu.Unlock()
	gr.offerPolicy(ctx, address, store.Revision(rs.GetPolicyRevision()))
	gr.learnPolicy(ctx, address, store.Revision(rs.GetPolicyRevision()), asked.Add(-time.Duration(rs.GetPolicyAgeMs())*time.Millisecond))
}

func (gr *Group) failedMeeting(ctx context.Context, address string, err error) {
	gr.mu.Lock()
	pr := gr.progress[address]
	first := !pr.failed
	pr.failed = true
	gr.progress[address] = pr
	gr.mu.Unlock()
	if first && ctx.Err() == nil {
		gr.log.Debug(event.PeerUnreachable, err, event.Fields{"address": address})
	}
}

// Peer gives the service of the daemon at an address.
func (gr *Group) Peer(address string) rpc.PeerService {
	return rpc.NewPeerServiceProtobufClient("http://"+address, authorised{client: gr.client, key: gr.opt.SharedKey})
}

// authorised adds the shared key to each call.
type authorised struct {
	client *http.Client
	key    string
}

// Do sends a request.
func (au authorised) Do(rq *http.Request) (*http.Response, error) {
	rq.Header.Set("Authorization", bearer+au.key)
	rs, err := au.client.Do(rq) //nolint:gosec // peers' addresses come from the settings, the VM list and peers
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	return rs, nil
}

func isBearer(header, key string) bool {
	return equalSecret(strings.TrimPrefix(header, bearer), key) && strings.HasPrefix(header, bearer)
}

// FailureDomain gives this daemon's.
func (gr *Group) FailureDomain() policy.FailureDomain {
	return policy.FailureDomain(gr.opt.Self.GetFailureDomain())
}
