package configuration

import (
	"maps"
	"sync"
	"time"
)

// silentTime is how long a peer that did not answer is passed over, unless all others are too.
const silentTime = 3 * time.Second

// peerChoice spreads the slots of a Follower over peers that answer. It is safe for concurrent use.
type peerChoice struct {
	mu          sync.Mutex
	asked       map[string]bool
	silentUntil map[string]time.Time
}

func newPeerChoice() *peerChoice {
	return &peerChoice{asked: map[string]bool{}, silentUntil: map[string]time.Time{}}
}

// take returns the first address, from a position on, that no slot is asking and that was not silent of
// late, with its position. If there is none, it returns the address at the position itself. The caller
// must call release when it has asked.
func (pc *peerChoice) take(now time.Time, addresses []string, position int) (string, int) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	chosen := position
	for n := range addresses {
		address := addresses[(position+n)%len(addresses)]
		if !pc.asked[address] && !now.Before(pc.silentUntil[address]) {
			chosen = position + n
			break
		}
	}
	address := addresses[chosen%len(addresses)]
	pc.asked[address] = true
	return address, chosen
}

// release ends the use of an address that take returned.
func (pc *peerChoice) release(address string) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	delete(pc.asked, address)
}

// noteAnswer records whether a peer has answered in time, be it with an error.
func (pc *peerChoice) noteAnswer(now time.Time, address string, answered bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	maps.DeleteFunc(pc.silentUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if answered {
		delete(pc.silentUntil, address)
	} else {
		pc.silentUntil[address] = now.Add(silentTime)
	}
}
