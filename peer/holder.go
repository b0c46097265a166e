package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

// Holder is a daemon that may hold state on behalf of all daemons. Address is empty
// for this daemon.
type Holder struct {
	VM            vm.ID
	Incarnation   Incarnation
	FailureDomain policy.FailureDomain
	Address       string
	// Draining is false for this daemon.
	Draining bool
	// LinkMbps is the speed of the VM's network link in Mbit/s, 0 if it is not known.
	LinkMbps float64
	// PolicyForm is as in Member; for this daemon it is that of its build.
	PolicyForm policy.Form
}

// Holders returns the live daemons that serve callers, this one included.
func (gr *Group) Holders() []Holder {
	out := []Holder{{VM: gr.VM(), Incarnation: gr.Incarnation(), FailureDomain: gr.FailureDomain(), LinkMbps: gr.opt.Self.GetLinkMbps(), PolicyForm: policy.Form(gr.opt.Self.GetPolicyForm())}}
	for _, mb := range gr.Entries() {
		out = append(out, Holder{
			VM: mb.VM, Incarnation: mb.Incarnation, FailureDomain: mb.FailureDomain, Address: mb.PeerAddress,
			Draining: mb.Draining, LinkMbps: mb.LinkMbps, PolicyForm: mb.PolicyForm,
		})
	}
	return out
}

// SelectHolders returns the n of the daemons that hold the state of a key, or all if
// there are fewer, chosen by rendezvous hashing (highest random weight; Thaler and
// Ravishankar, 1998). If they are in several failure domains, the second holder is in
// another one than the first.
func SelectHolders(daemons []Holder, key string, n int) []Holder {
	all, weights := slices.Clone(daemons), weightsOf(daemons, key)
	slices.SortFunc(all, func(a, b Holder) int { return cmp.Compare(weights[b.VM], weights[a.VM]) })
	elsewhere := slices.IndexFunc(all, func(ho Holder) bool { return ho.FailureDomain != all[0].FailureDomain })
	if elsewhere > 1 {
		all[1], all[elsewhere] = all[elsewhere], all[1]
	}
	return all[:min(n, len(all))]
}

// SelectNearest returns the n of the daemons, or all if there are fewer, that share a task
// of a failure domain: those in it first, then by rendezvous hashing.
func SelectNearest(daemons []Holder, fd policy.FailureDomain, key string, n int) []Holder {
	all, weights := slices.Clone(daemons), weightsOf(daemons, key)
	slices.SortFunc(all, func(a, b Holder) int {
		if near := b.FailureDomain == fd; near != (a.FailureDomain == fd) {
			return map[bool]int{true: 1, false: -1}[near]
		}
		return cmp.Compare(weights[b.VM], weights[a.VM])
	})
	return all[:min(n, len(all))]
}

// weightsOf returns the ranks of the daemons' VMs for a key.
func weightsOf(daemons []Holder, key string) map[vm.ID]uint64 {
	out := make(map[vm.ID]uint64, len(daemons))
	for _, ho := range daemons {
		out[ho.VM] = weight(ho.VM, key)
	}
	return out
}

// weight returns the rank of a VM for a key; the VMs with the greatest are chosen.
func weight(id vm.ID, key string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + key)
}
