package entry

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

// RatingsPrefix is the prefix of the stewards' items with rating sums, one
// for each cascade.
const RatingsPrefix = "ratings/"

// cascades holds the choosers.
//
// mu guards the choosers. The board's lock is taken before it.
type cascades struct {
	peers    *peer.Group
	mu       sync.Mutex
	choosers map[policy.CascadeID]*cascade.Chooser
	seen     map[string]peer.Version
}

func newCascades(pe *peer.Group) *cascades {
	return &cascades{peers: pe, choosers: map[policy.CascadeID]*cascade.Chooser{}, seen: map[string]peer.Version{}}
}

func (ca *cascades) choose(rec policy.Cascade, work cascade.WorkKind, arms []cascade.Arm) cascade.Choice {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.get(rec.ID).Choose(work, arms, rec.QualityTarget)
}

func (ca *cascades) get(id policy.CascadeID) *cascade.Chooser {
	ch, ok := ca.choosers[id]
	if !ok {
		ch = cascade.NewChooser(uint64(time.Now().UnixNano()))
		ca.choosers[id] = ch
	}
	return ch
}

// refresh takes in the stewards' newest rating sums.
func (ca *cascades) refresh(se *policy.Set) {
	its := ca.peers.Board().Under(RatingsPrefix)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for _, it := range its {
		if ca.seen[it.Key] == it.Version {
			continue
		}
		ca.seen[it.Key] = it.Version
		var ras rpc.Ratings
		if proto.Unmarshal(it.Value, &ras) != nil {
			continue
		}
		ch := ca.get(policy.CascadeID(it.Key[len(RatingsPrefix):]))
		for _, su := range ras.GetSums() {
			ch.SetEstimate(cascade.WorkKind(su.GetWork()), policy.VersionID(su.GetVersion()), su.GetWeight(), su.GetMean())
		}
	}
	for id := range ca.choosers {
		if _, ok := se.Cascades.ByID(id); !ok {
			delete(ca.choosers, id)
		}
	}
}
