package policy

import (
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

// Evacuation bars a failure domain: its endpoints get no new request until the operator takes the
// evacuation back. Only tanager-router enforces it.
type Evacuation struct {
	ID FailureDomain
	*rpc.Evacuation
}

// Defaults implements the interface of records. An evacuation has none.
func (ev Evacuation) Defaults() {}

// Validate implements the interface of records. An evacuation has no fields, and a failure domain
// need not have endpoints.
func (ev Evacuation) Validate(*finding.List, finding.Place, *Set) {}

// Evacuated reports whether a failure domain is evacuated.
func (se *Set) Evacuated(fd FailureDomain) bool {
	_, ok := se.Evacuations.ByID(fd)
	return ok
}
