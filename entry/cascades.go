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

// RatingsPrefix is the key prefix of the items in which stewards publish rating
// sums. The rest of the key is the cascade's ID.
const RatingsPrefix = "ratings/"

// cascades holds a chooser for each cascade.
//
// mu guards choosers and seenItems. The peer group's table is read before mu is
// locked, never while it is held.
type cascades struct {
	peers    *peer.Group
	mu       sync.Mutex
	choosers map[policy.CascadeID]*cascade.Chooser
	// seenItems holds the item version of each item of rating sums that was last
	// processed, by key.
	seenItems map[string]peer.Version
}

func newCascades(pe *peer.Group) *cascades {
	return &cascades{peers: pe, choosers: map[policy.CascadeID]*cascade.Chooser{}, seenItems: map[string]peer.Version{}}
}

// choose chooses an arm, which is a model with its version, for one request to the
// cascade rec. It updates the chooser's state.
func (ca *cascades) choose(rec policy.Cascade, work cascade.WorkKind, arms []cascade.Arm) cascade.Choice {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.getLocked(rec.ID).Choose(work, arms, rec.QualityTarget)
}

// getLocked returns the cascade's chooser, and creates it if there is none. mu must
// be held.
func (ca *cascades) getLocked(id policy.CascadeID) *cascade.Chooser {
	ch, ok := ca.choosers[id]
	if !ok {
		ch = cascade.NewChooser(uint64(time.Now().UnixNano()))
		ca.choosers[id] = ch
	}
	return ch
}

// refresh sets the choosers' estimates from rating sums that stewards have
// published since the last call, and removes choosers whose cascade is not in the
// policy.
func (ca *cascades) refresh(se *policy.Set) {
	its := ca.peers.Table().List(RatingsPrefix)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for _, it := range its {
		if ca.seenItems[it.Key] == it.Version {
			continue
		}
		ca.seenItems[it.Key] = it.Version
		var ras rpc.Ratings
		if proto.Unmarshal(it.Value, &ras) != nil {
			continue
		}
		ch := ca.getLocked(policy.CascadeID(it.Key[len(RatingsPrefix):]))
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
