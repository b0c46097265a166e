package quarantine

import (
	"time"

	"google.golang.org/protobuf/types/known/emptypb"

	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
)

const (
	// contrastPrefix is the key prefix under which the routers tell each other that answers of
	// a service go well: went_well/SERVICE. All of them write the same item.
	contrastPrefix = "went_well/"
	// contrastInterval is the time after which that is told again.
	contrastInterval = 5 * time.Second
)

// tellContrast tells the other routers that an answer of a service went well, unless one of
// them has told so of late.
func (li *List) tellContrast(now time.Time, id policy.ServiceID) {
	key := contrastPrefix + string(id)
	it, ok := li.group.Table().Get(key)
	if !ok || now.Sub(it.WrittenAt) >= contrastInterval {
		li.group.PublishVersion(key, peer.Version{Sequence: it.Version.Sequence + 1}, &emptypb.Empty{})
	}
}

// contrast reports whether any answer of a service went well of late, here or at another
// router. A router that has just started knows of none of its own.
func (li *List) contrast(now time.Time, id policy.ServiceID) bool {
	if li.proofs.Contrast(now, id) {
		return true
	}
	it, ok := li.group.Table().Get(contrastPrefix + string(id))
	return ok && now.Sub(it.WrittenAt) < contrastTTL
}
