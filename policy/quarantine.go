package policy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

// Subject is what a quarantine bars: requests with a prompt part, or a request that comes
// again unchanged. One of the fields is set.
type Subject struct {
	Part    PromptPartID
	Request Fingerprint
}

// String returns the kind of the subject and its ID.
func (su Subject) String() string {
	if su.Request != "" {
		return "request " + string(su.Request)
	}
	return "part " + string(su.Part)
}

// Quarantine bars its subject from all endpoints. Routers set it when the subject has
// crashed several of them. Only tanager-router enforces it.
type Quarantine struct {
	ID QuarantineID
	*rpc.Quarantine
}

// Defaults implements the interface of records. A quarantine has none.
func (qu Quarantine) Defaults() {}

// Subject returns what the quarantine bars.
func (qu Quarantine) Subject() Subject {
	return Subject{Part: PromptPartID(qu.Part), Request: Fingerprint(qu.Fingerprint)}
}

// Validate adds a finding to li for a missing or ambiguous subject and a missing end.
func (qu Quarantine) Validate(li *finding.List, pl finding.Place, _ *Set) {
	at := specPlace(pl)
	if (qu.Part == "") == (qu.Fingerprint == "") {
		li.Add(at("part"), "want either part or fingerprint")
	}
	if qu.UntilMs <= 0 {
		li.Add(at("until_ms"), "%d is not positive", qu.UntilMs)
	}
}

// QuarantineIDOf returns the id of the quarantine of a subject. Part IDs are the callers',
// of any length and characters.
func QuarantineIDOf(su Subject) QuarantineID {
	const hexadecimal = 16
	text := string(su.Part)
	if su.Request != "" {
		text = "request\x00" + string(su.Request)
	}
	return QuarantineID(strconv.FormatUint(xxhash.Sum64String(text), hexadecimal))
}

// probeTime is how long the answer to a probe takes to end the quarantine at all routers.
const probeTime = 2 * time.Second

// QuarantineOf returns the quarantine of a subject, and false if it has none. A
// quarantine ends when its record is removed: VMs' clocks may be off by more than it lasts.
func (se *Set) QuarantineOf(su Subject) (Quarantine, bool) {
	if se.Quarantines.Len() == 0 {
		return Quarantine{}, false
	}
	qu, ok := se.Quarantines.ByID(QuarantineIDOf(su))
	return qu, ok && qu.Subject() == su
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
