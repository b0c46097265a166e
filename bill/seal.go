package bill

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

func (bo *Book) batchPrefix(in peer.Incarnation, number BatchNumber) store.Key {
	return bo.opt.Prefix + store.Key(fmt.Sprintf("bill/%s/%010d/", in, number))
}

// seal appends the bills of a batch that the store does not have yet.
func (bo *Book) seal(ctx context.Context, in peer.Incarnation, number BatchNumber, bills []*rpc.Bill) error {
	prefix := bo.batchPrefix(in, number)
	// The first part is written unread: it is there only after a lost answer,
	// or when someone else has sealed.
	part, missing := 0, bills
	for {
		value, err := proto.Marshal(&rpc.SealedBatch{
			Incarnation: string(in), Batch: int64(number), Part: int64(part),
			Bills: missing, SealedBy: string(bo.peers.Incarnation()),
		})
		if err != nil {
			return eris.Wrap(err, "Book.seal")
		}
		key := prefix + store.Key(fmt.Sprintf("%04d", part))
		ou, err := bo.store.Apply(ctx, store.Commit{
			Compares: []store.Compare{{Key: key}},
			Puts:     []store.Put{{Key: key, Value: value}},
		})
		if err == nil && ou.Applied {
			return nil
		}
		if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
			return eris.Wrap(err, "Book.seal")
		}
		if part, missing, err = bo.missing(ctx, prefix, bills); err != nil {
			return eris.Wrap(err, "Book.seal")
		}
		if len(missing) == 0 {
			return nil
		}
	}
}

// missing reads a batch's parts and gives the next part's number and the
// bills that no part has.
func (bo *Book) missing(ctx context.Context, prefix store.Key, bills []*rpc.Bill) (int, []*rpc.Bill, error) {
	pa, err := bo.store.Range(ctx, prefix)
	if err != nil {
		return 0, nil, err
	}
	have := map[string]bool{}
	for _, kv := range pa.KeyValues {
		var sb rpc.SealedBatch
		if err := proto.Unmarshal(kv.Value, &sb); err != nil {
			return 0, nil, eris.Wrapf(err, "%s", kv.Key)
		}
		for _, bi := range sb.GetBills() {
			have[bi.GetId()] = true
		}
	}
	var out []*rpc.Bill
	for _, bi := range bills {
		if !have[bi.GetId()] {
			have[bi.GetId()] = true
			out = append(out, bi)
		}
	}
	return len(pa.KeyValues), out, nil
}
