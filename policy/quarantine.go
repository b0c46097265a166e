package policy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

// Quarantine bars requests with a prompt part from all endpoints. Routers set it when
// the part has crashed several of them. Only tanager-router enforces it.
type Quarantine struct {
	ID QuarantineID
	*rpc.Quarantine
}

// Defaults implements the interface of records. A quarantine has none.
func (qu Quarantine) Defaults() {}

// Validate adds a finding to li for a missing part or end.
func (qu Quarantine) Validate(li *finding.List, pl finding.Place, _ *Set) {
	at := specPlace(pl)
	if qu.Part == "" {
		li.Add(at("part"), "missing")
	}
	if qu.UntilMs <= 0 {
		li.Add(at("until_ms"), "%d is not positive", qu.UntilMs)
	}
}

// QuarantineIDOf returns the id of the quarantine of a prompt part. Part IDs are the
// callers', of any length and characters.
func QuarantineIDOf(part PromptPartID) QuarantineID {
	const hexadecimal = 16
	return QuarantineID(strconv.FormatUint(xxhash.Sum64String(string(part)), hexadecimal))
}

// probeTime is how long the answer to a probe takes to end the quarantine at all routers.
const probeTime = 2 * time.Second

// QuarantineOf returns the quarantine of a prompt part, and false if it has none. A
// quarantine ends when its record is removed: VMs' clocks may be off by more than it lasts.
func (se *Set) QuarantineOf(part PromptPartID) (Quarantine, bool) {
	if se.Quarantines.Len() == 0 {
		return Quarantine{}, false
	}
	qu, ok := se.Quarantines.ByID(QuarantineIDOf(part))
	return qu, ok && qu.Part == string(part)
}

// RetryAt returns when a caller whose request was refused should try again: when the next
// probe may have ended the quarantine, or at its end if there is no further probe.
func (qu Quarantine) RetryAt(now time.Time) time.Time {
	at := time.UnixMilli(qu.UntilMs)
	if qu.ProbeAtMs > 0 {
		at = time.UnixMilli(qu.ProbeAtMs).Add(probeTime)
	}
	if earliest := now.Add(probeTime); at.Before(earliest) {
		return earliest
	}
	return at
}
