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

// QuarantinedUntil returns when the quarantine of a prompt part ends, and false if the
// part is not in quarantine now.
func (se *Set) QuarantinedUntil(now time.Time, part PromptPartID) (time.Time, bool) {
	if se.Quarantines.Len() == 0 {
		return time.Time{}, false
	}
	qu, ok := se.Quarantines.ByID(QuarantineIDOf(part))
	if !ok || qu.Part != string(part) {
		return time.Time{}, false
	}
	until := time.UnixMilli(qu.UntilMs)
	return until, now.Before(until)
}
