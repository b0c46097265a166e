package relay

import (
	"time"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// PlacementCall is what the queue for places and the room at endpoints are told of a call.
type PlacementCall struct {
	Organisation policy.OrganisationID
	Urgency      admission.Urgency
	Work         placement.Work
	EvenPart     int
	Failed       []policy.EndpointID
}

// CallElsewhere returns what is told of a call when it is to be sent to another endpoint than one
// at which an attempt is under way.
func CallElsewhere(pc PlacementCall, under policy.EndpointID) PlacementCall {
	ca := pc.call()
	at := &attempt{call: ca, chosenFor: ca.forPlacement(ca.model, ca.failedEndpoints), endpoint: policy.Endpoint{ID: under}}
	ca.urgency, ca.work, ca.evenPart, ca.failedEndpoints = 0, 0, 0, nil
	return placementCall(at.callElsewhere())
}

func (pc PlacementCall) call() *call {
	return &call{
		organisation: &pc.Organisation, urgency: int64(pc.Urgency), work: pc.Work, evenPart: pc.EvenPart, failedEndpoints: pc.Failed,
	}
}

func placementCall(ca *call) PlacementCall {
	return PlacementCall{
		Organisation: ca.organisationID(), Urgency: admission.Urgency(ca.urgency), Work: ca.work, EvenPart: ca.evenPart, Failed: ca.failedEndpoints,
	}
}

// PlaceQueue is the queue for places of one service.
type PlaceQueue struct{ pq *placeQueue }

const testService = policy.ServiceID("s")

func NewPlaceQueue() PlaceQueue { return PlaceQueue{newPlaceQueue()} }

func (pq PlaceQueue) Join(now time.Time, wa *admission.Waiter) admission.TurnAway {
	return pq.pq.join(now, testService, wa)
}

func (pq PlaceQueue) Leave(now time.Time, wa *admission.Waiter) { pq.pq.leave(now, testService, wa) }

func (pq PlaceQueue) Free(now time.Time) { pq.pq.free(now, testService) }

func (pq PlaceQueue) Turn(now time.Time, wa *admission.Waiter) (why admission.TurnAway, may bool) {
	return pq.pq.turn(now, testService, wa)
}

func (pq PlaceQueue) Looked(now time.Time, wa *admission.Waiter) { pq.pq.looked(now, testService, wa) }
