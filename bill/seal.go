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

// seal writes those bills of a batch to the store that are not in it yet. It may
// be called by the batch's owner and by peers at the same time.
func (bo *Book) seal(ctx context.Context, in peer.Incarnation, number BatchNumber, bills []*rpc.Bill) error {
	prefix := bo.batchPrefix(in, number)
	// The first attempt writes part 0 without reading first: part 0 exists only if
	// the response to an earlier write was lost or another daemon has sealed.
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

// missing reads the stored parts of a batch. It returns the number of the next
// part and the bills that no part contains.
func (bo *Book) missing(ctx context.Context, prefix store.Key, bills []*rpc.Bill) (int, []*rpc.Bill, error) {
	pa, err := bo.store.Range(ctx, prefix)
	if err != nil {
		return 0, nil, err
	}
	have := map[string]bool{}
	for _, kv := range pa.KeyValues {
		var sb rpc.SealedBatch
		if err := proto.Unmarshal(kv.Value, &sb); err != nil {
			return 0, nil, eris.Wrapf(err, "undecodable part %s", kv.Key)
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
