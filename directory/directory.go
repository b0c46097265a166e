// Package directory selects the entries or routers whose addresses are returned to
// callers that ask where to connect. In this package, entry means either of the two.
package directory

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

// maxAddresses bounds the number of addresses in one answer.
const maxAddresses = 16

// remoteWeight is the factor on the weight of an entry in another failure domain
// than the caller's.
const remoteWeight = 0.9

// Addresses is the answer to a caller that asks which entries to connect to.
type Addresses struct {
	Entries []Address `json:"entries"`
	// KeepUntil is the time from which the caller must ask again, KeepMS the
	// milliseconds from the answer until then.
	KeepUntil time.Time `json:"keep_until"`
	KeepMS    int64     `json:"keep_ms"`
}

// Address is the address of one entry. A caller connects to one at random with a
// probability in proportion to its weight, or to the first.
type Address struct {
	Address       string               `json:"address"`
	FailureDomain policy.FailureDomain `json:"failure_domain"`
	Weight        float64              `json:"weight"`
}

// Candidate is an entry that Select may return.
type Candidate struct {
	VM            vm.ID
	Address       string
	FailureDomain policy.FailureDomain
	Draining      bool
	// PathLost reports whether the VM has no path to any endpoint.
	PathLost bool
	InFlight int64
}

// Select returns at most maxAddresses addresses for a caller in a failure domain;
// domain is "" when it is unknown. It leaves out the entries that drain or whose VM
// is leaving, and those without a path while at least half of all have one. Entries
// with fewer requests in flight than the mean weigh more. The order is random, and an
// entry of a greater weight is more likely to come early, so that callers that connect
// to the first address are also spread by weight.
func Select(cas []Candidate, leaving func(vm.ID) bool, domain policy.FailureDomain, rng *rand.Rand) []Address {
	total := int64(0)
	for _, ca := range cas {
		total += ca.InFlight
	}
	mean := float64(total)/float64(max(1, len(cas))) + 1
	type sampled struct {
		address Address
		key     float64
	}
	var all []sampled
	serving := slices.DeleteFunc(slices.Clone(cas), func(ca Candidate) bool { return ca.Draining || leaving(ca.VM) })
	for _, ca := range withPath(serving) {
		weight := 2 / (1 + float64(ca.InFlight+1)/mean)
		if domain != "" && ca.FailureDomain != domain {
			weight *= remoteWeight
		}
		// Weighted random sampling without replacement: Efraimidis and Spirakis,
		// 2006.
		key := math.Log(rng.Float64()) / weight
		all = append(all, sampled{Address{Address: ca.Address, FailureDomain: ca.FailureDomain, Weight: weight}, key})
	}
	slices.SortFunc(all, func(a, b sampled) int {
		if a.key > b.key {
			return -1
		}
		return 1
	})
	out := []Address{}
	for _, sa := range all[:min(maxAddresses, len(all))] {
		out = append(out, sa.address)
	}
	return out
}

// withPath returns the entries that have a path to the endpoints if they are at least half of
// all, so that they can take the others' callers; else it returns all, as those without a path
// serve too.
func withPath(cas []Candidate) []Candidate {
	sound := slices.DeleteFunc(slices.Clone(cas), func(ca Candidate) bool { return ca.PathLost })
	if 2*len(sound) < len(cas) {
		return cas
	}
	return sound
}
