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
	table  *Table
	holder *configuration.Holder
	log    *event.Log
	client *http.Client
	fence  int64

	// size counts the daemons heard of, this one included.
	size atomic.Int64
	// aheadPeers takes the addresses of peers that have a newer policy.
	aheadPeers chan string

	mu         sync.Mutex
	sequence   int64
	syncStates map[string]syncState
	// lastContact holds when each member was last met directly.
	lastContact map[Incarnation]time.Time
	lastMembers map[string]Member
	// currentRevision is the policy in force at the last round, settled at the one before.
	currentRevision  store.Revision
	previousRevision store.Revision
}

// syncState is what an exchange with one address has come to.
type syncState struct {
	incarnation string
	// received is the peer's counter up to which this daemon has its items.
	received int64
	// sent is this daemon's counter up to which the peer has its items.
	sent        int64
	unreachable bool
}

// NewGroup gives a group with a fresh incarnation.
func NewGroup(opt Options, ho *configuration.Holder, ne network.Network, lo *event.Log) *Group {
	opt.Self.Incarnation = ulid.Make().String()
	return &Group{
		opt: opt, table: NewTable(), holder: ho, log: lo, aheadPeers: make(chan string, 1),
		client:      ne.Client(2),
		fence:       time.Now().UnixMilli(),
		syncStates:  map[string]syncState{},
		lastContact: map[Incarnation]time.Time{},
		lastMembers: map[string]Member{},
	}
}

// Incarnation gives this daemon's own.
func (gr *Group) Incarnation() Incarnation { return Incarnation(gr.opt.Self.GetIncarnation()) }

// VM gives this daemon's VM.
func (gr *Group) VM() vm.ID { return vm.ID(gr.opt.Self.GetVm()) }

// Table gives the items.
func (gr *Group) Table() *Table { return gr.table }

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
	if err != nil || gr.table.writtenRecently(key, ve.Fence, value, time.Now()) {
		return
	}
	gr.table.Put(key, ve, value, time.Now())
}

// Announce publishes this daemon's state at once and meets some peers.
func (gr *Group) Announce(ctx context.Context) {
	gr.publishSelf()
	gr.exchangeRound(ctx)
}

func (gr *Group) publishSelf() { gr.Publish(memberKey(gr.opt.Self), gr.self()) }

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

// exchangeRound meets the peers of one interval at the same time.
func (gr *Group) exchangeRound(ctx context.Context) {
	gr.rotateRevisions()
	wg := worker.NewGroup()
	for _, ad := range gr.pickAddresses() {
		wg.Go(func(context.Context) { gr.exchangeWith(ctx, ad) })
	}
	wg.Wait()
}

// pickAddresses chooses addresses at random, known members first; one of the others
// always has a place, so that parts of a site find each other again.
func (gr *Group) pickAddresses() []string {
	me := gr.opt.Self.GetPeerAddress()
	var live, others []string
	for _, mb := range gr.Members() {
		live = append(live, mb.PeerAddress)
	}
	candidates := slices.Clone(gr.opt.Seeds)
	if gr.opt.PeerAddresses != nil {
		candidates = append(candidates, gr.opt.PeerAddresses()...)
	}
	for _, it := range gr.table.List(memberPrefix) {
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

// exchangeWith exchanges with one peer, and fetches its policy when it is newer.
func (gr *Group) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gr.exchangeTimeout())
	defer cancel()
	asked := time.Now()
	gr.mu.Lock()
	pr := gr.syncStates[address]
	gr.mu.Unlock()
	its, change := gr.table.changedSince(pr.sent, asked)
	rs, err := gr.Peer(address).Exchange(ctx, &rpc.ExchangeRequest{
		From: gr.self(), Items: its,
		SeenChange: pr.received, SeenIncarnation: pr.incarnation,
		PolicyRevision: int64(gr.holder.Set().Revision), PolicyAgeMs: gr.policyAgeMS(asked),
	})
	if err != nil {
		gr.recordFailure(ctx, address, err)
		return
	}
	gr.table.merge(rs.GetItems(), asked)
	gr.mu.Lock()
	gr.syncStates[address] = syncState{incarnation: rs.GetFrom().GetIncarnation(), received: rs.GetChange(), sent: change}
	if pr.incarnation != "" && pr.incarnation != rs.GetFrom().GetIncarnation() {
		// The peer is new at this address and has none of the items given.
		gr.syncStates[address] = syncState{incarnation: rs.GetFrom().GetIncarnation(), received: rs.GetChange()}
	}
	gr.lastContact[Incarnation(rs.GetFrom().GetIncarnation())] = asked
	gr.mu.Unlock()
	gr.offerPolicy(ctx, address, store.Revision(rs.GetPolicyRevision()))
	gr.fetchPolicy(ctx, address, store.Revision(rs.GetPolicyRevision()), asked.Add(-time.Duration(rs.GetPolicyAgeMs())*time.Millisecond))
}

func (gr *Group) recordFailure(ctx context.Context, address string, err error) {
	gr.mu.Lock()
	pr := gr.syncStates[address]
	first := !pr.unreachable
	pr.unreachable = true
	gr.syncStates[address] = pr
	gr.mu.Unlock()
	if first && ctx.Err() == nil {
		gr.log.Debug(event.PeerUnreachable, err, event.Fields{"address": address})
	}
}

// Peer gives the service of the daemon at an address.
func (gr *Group) Peer(address string) rpc.PeerService {
	return rpc.NewPeerServiceProtobufClient("http://"+address, bearerClient{client: gr.client, key: gr.opt.SharedKey})
}

// bearerClient adds the shared key to each call.
type bearerClient struct {
	client *http.Client
	key    string
}

// Do sends a request.
func (au bearerClient) Do(rq *http.Request) (*http.Response, error) {
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
