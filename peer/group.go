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
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

// Incarnation is the ULID of one run of a daemon. It is new after each restart.
type Incarnation string

// Roles of daemons.
const (
	RoleEntry   = "entry"
	RoleSteward = "steward"
	RoleRouter  = "router"
)

// Options configure a Group: the daemon's own member record, the timing of the
// exchange and the sources of peer addresses.
type Options struct {
	Self        *rpc.Member
	SharedKey   string
	Interval    time.Duration
	Fanout      int
	FailedAfter time.Duration
	Seeds       []string
	// PeerAddresses returns the peers' addresses from the VM list or the
	// registry. It may be nil.
	PeerAddresses func() []string
	// Describe sets the fields of the member record that change at run time.
	// It may be nil.
	Describe func(me *rpc.Member)
	// StoreAnswered returns when the store itself last answered this daemon, zero if it is
	// not one of those that watch it for all. It may be nil.
	StoreAnswered func() time.Time
	// MaxPassedAge is the age up to which evidence of the policy is passed on, see
	// configuration.MaxPassedAge.
	MaxPassedAge time.Duration
	// StoreLost returns a channel that is closed while the store fails this daemon, nil if it
	// is not one of those that watch the store at all times. It may be nil.
	StoreLost func() <-chan struct{}
}

// Settings gives access to the setting sections that the exchange needs.
type Settings interface {
	GetVm() *rpc.VMSection
	GetListen() *rpc.ListenSection
	GetPeers() *rpc.PeersSection
}

// OptionsOf returns the options from the settings of a daemon with a role.
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

// Group runs this daemon's side of the exchange and holds what it has learnt from
// peers.
//
// mu guards syncStates, lastContact, lastMembers, sequence, currentRevision,
// previousRevision and watch. It is taken before the table's and the holder's locks, never
// after.
type Group struct {
	opt    Options
	table  *Table
	holder *configuration.Holder
	log    *event.Log
	client *http.Client
	// fence is the Version.Fence of the items that this daemon publishes: its start
	// time in Unix milliseconds.
	fence int64

	// size is the number of live daemons, this one included.
	size atomic.Int64
	// aheadPeers receives the addresses of peers that have a newer policy.
	aheadPeers chan string
	// transfers is the number of messages with many records that are arriving from peers.
	transfers atomic.Int64

	mu sync.Mutex
	// sequence is the Version.Sequence of the item last published.
	sequence int64
	// syncStates is the state of the exchange with each peer address.
	syncStates map[string]syncState
	// lastContact is the time of the last direct exchange with each member.
	lastContact map[Incarnation]time.Time
	// lastMembers holds the members that were live at the last call of
	// updateMembers, by role and VM.
	lastMembers map[string]Member
	// currentRevision is the policy revision in force at the start of the last
	// round, previousRevision the one at the start of the round before.
	currentRevision  store.Revision
	previousRevision store.Revision
	// watch is whom this daemon follows, or whether it watches the store itself.
	watch watchPlan
}

// syncState records which items this daemon and the peer at one address have
// already sent to each other.
type syncState struct {
	incarnation string
	// received is the peer's change counter up to which this daemon has its
	// items.
	received int64
	// sent is this daemon's change counter up to which the peer has its items.
	sent int64
	// acceptsKeyHashes reports whether the peer knows hashes in place of keys.
	acceptsKeyHashes bool
	// unreachable is set after a failed exchange, so that no further failure is
	// logged until an exchange with the peer succeeds.
	unreachable bool
}

// NewGroup returns a group with a new incarnation; Run starts the exchange.
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

// Incarnation returns this daemon's incarnation.
func (gr *Group) Incarnation() Incarnation { return Incarnation(gr.opt.Self.GetIncarnation()) }

// VM returns the ID of this daemon's VM.
func (gr *Group) VM() vm.ID { return vm.ID(gr.opt.Self.GetVm()) }

// Table returns the table of published items.
func (gr *Group) Table() *Table { return gr.table }

// Close closes the idle connections to peers.
func (gr *Group) Close() { gr.client.CloseIdleConnections() }

// Publish writes an item that this daemon owns. Where several daemons publish an
// item of one kind, each key must end in the owner's name, since no two daemons may
// publish the same key. An unchanged value is written again only after
// rewriteInterval, except for a member record, whose writes are its heartbeats.
func (gr *Group) Publish(key string, ms proto.Message) {
	gr.mu.Lock()
	gr.sequence++
	ve := Version{Fence: gr.fence, Sequence: gr.sequence}
	gr.mu.Unlock()
	gr.PublishVersion(key, ve, ms)
}

// PublishVersion writes an item under a key that several daemons may write; the
// version decides which write wins.
func (gr *Group) PublishVersion(key string, ve Version, ms proto.Message) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(ms)
	if err != nil || gr.table.writtenRecently(key, ve.Fence, value, time.Now()) {
		return
	}
	gr.table.Put(key, ve, value, time.Now())
}

// Announce publishes this daemon's member record and runs an exchange round at
// once. It blocks until the round is over.
func (gr *Group) Announce(ctx context.Context) {
	gr.publishSelf()
	gr.exchangeRound(ctx)
}

func (gr *Group) publishSelf() { gr.Publish(memberKey(gr.opt.Self), gr.self()) }

// identity returns the fields of this daemon's member record that Options.Describe does not set.
func (gr *Group) identity() *rpc.Member {
	me := proto.CloneOf(gr.opt.Self)
	me.PolicyForm = gr.policyForm()
	return me
}

func (gr *Group) self() *rpc.Member {
	me := gr.identity()
	if gr.opt.Describe != nil {
		gr.opt.Describe(me)
	}
	return me
}

func memberKey(me *rpc.Member) string {
	return memberPrefix + me.GetRole() + "/" + me.GetVm()
}

// exchangeRound exchanges with the peers of one round concurrently and blocks
// until all have answered or timed out.
func (gr *Group) exchangeRound(ctx context.Context) {
	gr.rotateRevisions()
	wg := worker.NewGroup()
	for _, ad := range gr.pickAddresses() {
		wg.Go(func(context.Context) { gr.exchangeWith(ctx, ad) })
	}
	wg.Wait()
}

// pickAddresses returns random peer addresses: up to Fanout addresses of live
// members, and then others to make up for missing members. If any other address is
// known, it returns at least one, so that the parts of a site rejoin after a
// network partition.
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
	gr.table.eachMember(func(mb Member, _ time.Time) { candidates = append(candidates, mb.PeerAddress) })
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

// exchangeWith exchanges items with one peer, offers it the policy in force if
// it is behind, and fetches its policy if that is newer.
func (gr *Group) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gr.exchangeTimeout())
	defer cancel()
	asked := time.Now()
	gr.mu.Lock()
	ss := gr.syncStates[address]
	gr.mu.Unlock()
	its, change := gr.table.changedSince(ss.sent, ss.acceptsKeyHashes, asked)
	rs, err := gr.Peer(address).Exchange(ctx, &rpc.ExchangeRequest{
		From: gr.self(), Items: its,
		SeenChange: ss.received, SeenIncarnation: ss.incarnation,
		PolicyRevision: int64(gr.position().revision), PolicyRetained: uint64(gr.position().retained), PolicyAgeMs: gr.policyAgeMS(asked),
		AcceptsKeyHashes: true,
	})
	if err != nil {
		gr.recordFailure(ctx, address, err)
		return
	}
	gr.table.merge(rs.GetItems(), asked)
	gr.mu.Lock()
	gr.syncStates[address] = syncState{
		incarnation: rs.GetFrom().GetIncarnation(), received: rs.GetChange(), sent: change, acceptsKeyHashes: rs.GetAcceptsKeyHashes(),
	}
	if ss.incarnation != "" && ss.incarnation != rs.GetFrom().GetIncarnation() {
		// The peer has restarted and does not have the items sent to its predecessor.
		gr.syncStates[address] = syncState{incarnation: rs.GetFrom().GetIncarnation(), received: rs.GetChange()}
	}
	gr.lastContact[Incarnation(rs.GetFrom().GetIncarnation())] = asked
	gr.mu.Unlock()
	if !rs.GetReceivesRecords() {
		gr.offerPolicy(ctx, address, positionOf(rs))
	}
	if positionOf(rs).revision > gr.position().revision {
		// That may take longer than a round.
		gr.noteAhead(address)
		return
	}
	gr.fetchPolicy(ctx, address, rs, quantity.Ago(asked, rs.GetPolicyAgeMs()))
}

// noteAhead records that a peer has a newer policy. It is fetched soon.
func (gr *Group) noteAhead(address string) {
	// If the channel is full, a newer policy is already about to be fetched.
	select {
	case gr.aheadPeers <- address:
	default:
	}
}

func (gr *Group) recordFailure(ctx context.Context, address string, err error) {
	gr.mu.Lock()
	ss := gr.syncStates[address]
	first := !ss.unreachable
	ss.unreachable = true
	gr.syncStates[address] = ss
	gr.mu.Unlock()
	if first && ctx.Err() == nil {
		gr.log.Debug(event.PeerUnreachable, err, event.Fields{"address": address})
	}
}

// Peer returns a client of the peer service at an address.
func (gr *Group) Peer(address string) rpc.PeerService {
	return rpc.NewPeerServiceProtobufClient("http://"+address, bearerClient{client: gr.client, key: gr.opt.SharedKey, transfers: &gr.transfers})
}

// CarryURL returns the URL at which a peer takes attempts to carry.
func (gr *Group) CarryURL(mb Member) string { return "http://" + mb.PeerAddress + carryPath }

// Authorization returns the value of the header that peers' listeners require.
func (gr *Group) Authorization() string { return bearer + gr.opt.SharedKey }

// bearerClient is an HTTP client that sends the shared key with each request, and no header
// that peers do not read.
type bearerClient struct {
	client    *http.Client
	key       string
	transfers *atomic.Int64
}

// Do adds the shared key to a request, removes its unused headers and sends it.
func (bc bearerClient) Do(rq *http.Request) (*http.Response, error) {
	rq.Header.Set("Authorization", bearer+bc.key)
	rq.Header.Del("Accept")
	rq.Header.Del("Twirp-Version")
	rq.Header.Set("User-Agent", "")
	rs, err := bc.client.Do(rq) //nolint:gosec // peers' addresses come from the settings, the VM list and peers
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	rs.Body = network.StallLimited(rq.Context(), rs.Body)
	if isTransfer(rq, rs.ContentLength) {
		if !bc.transfers.CompareAndSwap(0, 1) {
			_ = rs.Body.Close()
			return nil, configuration.ErrReceiving
		}
		rs.Body = &transferBody{ReadCloser: rs.Body, transfers: bc.transfers}
	}
	return rs, nil
}

func isBearer(header, key string) bool {
	return equalSecret(strings.TrimPrefix(header, bearer), key) && strings.HasPrefix(header, bearer)
}

// FailureDomain returns the failure domain of this daemon's VM.
func (gr *Group) FailureDomain() policy.FailureDomain {
	return policy.FailureDomain(gr.opt.Self.GetFailureDomain())
}
