package bill

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// Listing is the result of reading the sealed bills from the store.
type Listing struct {
	Bills []*rpc.Bill
	// Stored is the number of bills in the store, duplicates included. It is
	// greater than len(Bills)+len(Repeated) if a bill is stored twice.
	Stored int
	// Repeated holds the further bills of requests that the caller repeated with the
	// same request ID, so that another bill is in Bills. They are not charged.
	Repeated []*rpc.Bill
}

// List returns all sealed bills under a key prefix of the store. Bills has each
// bill once, and one bill per organisation and request ID.
func List(ctx context.Context, st store.Store, prefix store.Key) (Listing, error) {
	pa, err := st.Range(ctx, prefix+"bill/")
	if err != nil {
		return Listing{}, eris.Wrap(err, "bill.List")
	}
	var li Listing
	seen, requests := map[string]bool{}, map[string]bool{}
	for _, kv := range pa.KeyValues {
		var sb rpc.SealedBatch
		if err := proto.Unmarshal(kv.Value, &sb); err != nil {
			return Listing{}, eris.Wrapf(err, "bill.List: undecodable part %s", kv.Key)
		}
		for _, bi := range sb.GetBills() {
			li.Stored++
			if seen[bi.GetId()] {
				continue
			}
			seen[bi.GetId()] = true
			request := bi.GetOrganisation() + "\x00" + bi.GetRequestId()
			if requests[request] {
				li.Repeated = append(li.Repeated, bi)
				continue
			}
			requests[request] = true
			li.Bills = append(li.Bills, bi)
		}
	}
	return li, nil
}

func shuffled(n int) []int { return rand.Perm(n) }

// Total is the sum of an organisation's bills for one version or service, which
// Resource names. Cost is in micro-credits.
type Total struct {
	Organisation string
	Resource     string
	Bills        int
	InputTokens  int64
	OutputTokens int64
	Cost         int64
}

// Sum returns the totals of bills per organisation and version or service, sorted
// by these.
func Sum(bis []*rpc.Bill) []Total {
	type group struct{ organisation, resource string }
	sums := map[group]*Total{}
	for _, bi := range bis {
		gr := group{bi.GetOrganisation(), cmp.Or(bi.GetService(), bi.GetVersion())}
		su, ok := sums[gr]
		if !ok {
			su = &Total{Organisation: gr.organisation, Resource: gr.resource}
			sums[gr] = su
		}
		su.Bills++
		su.InputTokens = quantity.Sum(su.InputTokens, max(0, bi.GetInputTokens()))
		su.OutputTokens = quantity.Sum(su.OutputTokens, max(0, bi.GetOutputTokens()))
		su.Cost = quantity.Sum(su.Cost, max(0, bi.GetCost()))
	}
	out := make([]Total, 0, len(sums))
	for _, su := range sums {
		out = append(out, *su)
	}
	slices.SortFunc(out, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Resource, b.Resource))
	})
	return out
}
