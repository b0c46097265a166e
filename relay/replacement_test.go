package relay_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/relay"
)

// TestCallSentElsewhereKeepsItsUrgencyAndOrganisation gives up an attempt while its call changes. The
// replacement counted as a request of urgency 0 of no organisation, which took the places of all
// that are less urgent, and as one that may pass over its router's part of the endpoints.
func TestCallSentElsewhereKeepsItsUrgencyAndOrganisation(t *testing.T) {
	pc := relay.PlacementCall{Organisation: "o", Urgency: 2, Work: 0.1, EvenPart: 3, Failed: []policy.EndpointID{"a"}}
	elsewhere := relay.CallElsewhere(pc, "b")
	pc.Failed = append(pc.Failed, "b")
	qt.Assert(t, elsewhere, qt.DeepEquals, pc)
}
