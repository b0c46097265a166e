// Package directory decides which entries callers are told to use.
package directory

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

// maxAddresses bounds an answer at a site with many entries.
const maxAddresses = 16

// remoteWeight is the weight of an entry in another failure domain than the
// caller's, against one in its own.
const remoteWeight = 0.9

// Addresses tells callers which entries to use.
type Addresses struct {
	Entries []Address `json:"entries"`
	// KeepUntil is when the caller must ask again.
	KeepUntil time.Time `json:"keep_until"`
	KeepMS    int64     `json:"keep_ms"`
}

// Address is one entry. Callers choose at random by weight, or take the first.
type Address struct {
	Address       string               `json:"address"`
	FailureDomain policy.FailureDomain `json:"failure_domain"`
	Weight        float64              `json:"weight"`
}

// Candidate is an entry that callers may be told to use.
type Candidate struct {
	VM            vm.ID
	Address       string
	FailureDomain policy.FailureDomain
	Draining      bool
	InFlight      int64
}

// Select decides the addresses, at most sixteen, for a caller in a failure domain, "" when
// unknown. Entries that drain, or whose VM is leaving, are left out. The order
// is random by weight, so that callers that take the first are spread too.
func Select(sts []Candidate, leaving func(vm.ID) bool, domain policy.FailureDomain, rng *rand.Rand) []Address {
	total := int64(0)
	for _, st := range sts {
		total += st.InFlight
	}
	mean := float64(total)/float64(max(1, len(sts))) + 1
	type drawn struct {
		address Address
		key     float64
	}
	var all []drawn
	for _, st := range sts {
		if st.Draining || leaving(st.VM) {
			continue
		}
		weight := 2 / (1 + float64(st.InFlight+1)/mean)
		if domain != "" && st.FailureDomain != domain {
			weight *= remoteWeight
		}
		// Weighted sampling after Efraimidis and Spirakis, 2006.
		key := math.Log(rng.Float64()) / weight
		all = append(all, drawn{Address{Address: st.Address, FailureDomain: st.FailureDomain, Weight: weight}, key})
	}
	slices.SortFunc(all, func(a, b drawn) int {
		if a.key > b.key {
			return -1
		}
		return 1
	})
	out := []Address{}
	for _, dr := range all[:min(maxAddresses, len(all))] {
		out = append(out, dr.address)
	}
	return out
}
