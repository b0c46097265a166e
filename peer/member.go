package peer

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/vm"
)

const memberPrefix = "member/"

// Member is the state of a daemon as last received through the exchange.
type Member struct {
	VM             vm.ID
	Incarnation    Incarnation
	Role           string
	FailureDomain  policy.FailureDomain
	PeerAddress    string
	CallersAddress string
	Draining       bool
	InFlight       int64
	LinkMbps       float64
	// PolicyForm is the form in which the policy records that the daemon holds were translated.
	PolicyForm policy.Form
	// PathLost reports whether the VM has no path to any endpoint.
	PathLost bool
	// LostServices are the services to whose endpoints the VM has no path, empty if PathLost
	// is set.
	LostServices []policy.ServiceID
	// FailedAt is when the member counts as failed unless a newer heartbeat
	// arrives.
	FailedAt time.Time
}

// Members returns the other live daemons of all roles: those whose last
// heartbeat is younger than FailedAfter scaled to the group's size.
func (gr *Group) Members() []Member {
	now, lifetime := time.Now(), gr.ScaleInterval(gr.opt.FailedAfter)
	out := make([]Member, 0, gr.size.Load())
	gr.table.eachMember(func(mb Member, heardAt time.Time) {
		mb.FailedAt = heardAt.Add(lifetime)
		if mb.Incarnation != gr.Incarnation() && mb.FailedAt.After(now) {
			out = append(out, mb)
		}
	})
	return out
}

// Entries returns the other live daemons that serve callers, which are those of
// RoleEntry and RoleRouter.
func (gr *Group) Entries() []Member {
	return slices.DeleteFunc(gr.Members(), func(mb Member) bool { return mb.Role == RoleSteward })
}

// RoutersWithPath returns the other live routers that have a path to a service's endpoints and do
// not drain.
func (gr *Group) RoutersWithPath(id policy.ServiceID) []Member {
	return slices.DeleteFunc(gr.Members(), func(mb Member) bool { return mb.Role != RoleRouter || mb.Draining || !mb.Reaches(id) })
}

// Preferred reports whether this daemon should be among the first to try for a
// task: whether it is one of the n live daemons of its role that rendezvous
// hashing by the task ranks first.
func (gr *Group) Preferred(task string, n int) bool {
	own, before := weight(gr.VM(), task), 0
	for _, mb := range gr.Members() {
		if mb.Role == gr.opt.Self.GetRole() && mb.VM != gr.VM() && weight(mb.VM, task) > own {
			before++
		}
	}
	return before < n
}

// LastHeard returns the time of the last heartbeat of an incarnation, received
// directly or through other peers, and reports whether there is one.
func (gr *Group) LastHeard(in Incarnation) (time.Time, bool) {
	var at time.Time
	found := false
	gr.table.eachMember(func(mb Member, heardAt time.Time) {
		if mb.Incarnation == in {
			at, found = heardAt, true
		}
	})
	return at, found
}

// ReachesMostEntries reports whether this daemon has had a direct exchange with
// more than half of the entry VMs within the last FailedAfter. It counts itself as
// reached. listed is the number of entry VMs in the VM list.
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

// linkBounds are those of the speed of a link in Mbit/s, as in the settings.
var linkBounds = quantity.Bounds[float64]{Min: 0, Max: 1e7}

func decodeMember(value []byte) Member {
	var ms rpc.Member
	if proto.Unmarshal(value, &ms) != nil {
		return Member{}
	}
	return Member{
		VM: vm.ID(ms.GetVm()), Incarnation: Incarnation(ms.GetIncarnation()), Role: ms.GetRole(),
		FailureDomain: policy.FailureDomain(ms.GetFailureDomain()),
		PeerAddress:   ms.GetPeerAddress(), CallersAddress: ms.GetCallersAddress(),
		Draining: ms.GetDraining(), InFlight: BoundedRunning(ms.GetInFlight()), LinkMbps: linkBounds.Clamp(ms.GetLinkMbps()), PolicyForm: policy.Form(ms.GetPolicyForm()), PathLost: ms.GetPathLost(), LostServices: serviceIDs(ms.GetLostServices()),
	}
}

func serviceIDs(texts []string) []policy.ServiceID {
	var out []policy.ServiceID
	for _, text := range texts {
		out = append(out, policy.ServiceID(text))
	}
	return out
}

// Reaches reports whether the daemon's VM has a path to endpoints of a service, as far as it
// says.
func (mb Member) Reaches(id policy.ServiceID) bool {
	return !mb.PathLost && !slices.Contains(mb.LostServices, id)
}

// updateMembers records the live members and their number, and logs which have
// joined or failed since the last call.
func (gr *Group) updateMembers() {
	live := map[string]Member{}
	for _, mb := range gr.Members() {
		live[mb.Role+"/"+string(mb.VM)] = mb
	}
	gr.mu.Lock()
	before := gr.lastMembers
	gr.lastMembers = live
	gr.mu.Unlock()
	gr.size.Store(int64(len(live) + 1))
	for key := range live {
		if _, ok := before[key]; !ok {
			gr.log.Info(event.MemberJoined, event.Fields{"member": key})
		}
	}
	for key := range before {
		if _, ok := live[key]; !ok {
			gr.log.Warn(event.MemberFailed, nil, event.Fields{"member": key})
		}
	}
}
