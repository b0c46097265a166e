package peer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/vm"
)

const memberPrefix = "member/"

// Member is a daemon as the exchange knows it.
type Member struct {
	VM             vm.ID
	Incarnation    Incarnation
	Role           string
	FailureDomain  policy.FailureDomain
	PeerAddress    string
	CallersAddress string
	Draining       bool
	InFlight       int64
	// FailedAt is when it counts as failed, if it is not heard of again.
	FailedAt time.Time
}

// Members lists the other daemons that are heard of, of all roles.
func (gr *Group) Members() []Member {
	now := time.Now()
	var out []Member
	for _, it := range gr.table.List(memberPrefix) {
		mb := it.member
		mb.FailedAt = it.WrittenAt.Add(gr.ScaleInterval(gr.opt.FailedAfter))
		if mb.Incarnation != gr.Incarnation() && mb.FailedAt.After(now) {
			out = append(out, mb)
		}
	}
	return out
}

// Entries lists the other daemons heard of that serve callers as entries do.
func (gr *Group) Entries() []Member {
	return slices.DeleteFunc(gr.Members(), func(mb Member) bool { return mb.Role == RoleSteward })
}

// Preferred tells whether this daemon is among the first of its role to try
// for a task, by highest random weight among the live ones.
func (gr *Group) Preferred(task string, first int) bool {
	weigh := func(id vm.ID) uint64 { return xxhash.Sum64String(string(id) + "\x00" + task) }
	own, before := weigh(gr.VM()), 0
	for _, mb := range gr.Members() {
		if mb.Role == gr.opt.Self.GetRole() && mb.VM != gr.VM() && weigh(mb.VM) > own {
			before++
		}
	}
	return before < first
}

// LastHeard gives when a run of a daemon was last heard of, over any peer.
func (gr *Group) LastHeard(in Incarnation) (time.Time, bool) {
	for _, it := range gr.table.List(memberPrefix) {
		if it.member.Incarnation == in {
			return it.WrittenAt, true
		}
	}
	return time.Time{}, false
}

// ReachesMostEntries tells whether more than half of the entry VMs, this one
// included, were met directly of late. listed counts the entry VMs of the list.
func (gr *Group) ReachesMostEntries(listed int) bool {
	now := time.Now()
	reached := 1
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for _, it := range gr.table.List(memberPrefix + RoleEntry + "/") {
		at, ok := gr.lastContact[it.member.Incarnation]
		if ok && now.Sub(at) < gr.opt.FailedAfter {
			reached++
		}
	}
	return 2*reached > listed
}

func decodeMember(value []byte) Member {
	var ms rpc.Member
	if proto.Unmarshal(value, &ms) != nil {
		return Member{}
	}
	return Member{
		VM: vm.ID(ms.GetVm()), Incarnation: Incarnation(ms.GetIncarnation()), Role: ms.GetRole(),
		FailureDomain: policy.FailureDomain(ms.GetFailureDomain()),
		PeerAddress:   ms.GetPeerAddress(), CallersAddress: ms.GetCallersAddress(),
		Draining: ms.GetDraining(), InFlight: ms.GetInFlight(),
	}
}

// updateMembers logs who came and who failed.
func (gr *Group) updateMembers() {
	now := map[string]Member{}
	for _, mb := range gr.Members() {
		now[mb.Role+"/"+string(mb.VM)] = mb
	}
	gr.mu.Lock()
	before := gr.lastMembers
	gr.lastMembers = now
	gr.mu.Unlock()
	gr.size.Store(int64(len(now) + 1))
	for key := range now {
		if _, ok := before[key]; !ok {
			gr.log.Info(event.MemberJoined, event.Fields{"member": key})
		}
	}
	for key := range before {
		if _, ok := now[key]; !ok {
			gr.log.Warn(event.MemberFailed, nil, event.Fields{"member": key})
		}
	}
}
