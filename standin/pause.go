package standin

import (
	"net/http"
	"time"
)

// Pause makes the replica send nothing for a time, in the middle of its responses too. It
// then goes on where it was, as a process does that was stopped and continued.
func (re *Replica) Pause(du time.Duration) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.pausedUntil = time.Now().Add(du)
}

// waitPause blocks until the replica does not pause or the client has disconnected, and
// reports whether the replica does not pause.
func (re *Replica) waitPause(rq *http.Request) bool {
	for {
		re.mu.Lock()
		left := time.Until(re.pausedUntil)
		re.mu.Unlock()
		if left <= 0 {
			return true
		}
		if !wait(rq, left) {
			return false
		}
	}
}
