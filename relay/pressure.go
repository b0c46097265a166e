package relay

import (
	"maps"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// pressedTime is how long a service counts as pressed after its endpoints were last heard to
	// be: a few exchanges of loads among the routers.
	pressedTime = 2 * time.Second
	// reportTTL is how long the load that an endpoint named in an answer is used.
	reportTTL = 300 * time.Millisecond
	// inTimeShare is the part of a route's latency target that the work of the requests at an
	// endpoint may take, if one more is to be answered in time. The rest allows for its way, and
	// for work that takes longer than usual.
	inTimeShare = 0.75
	// maxReports is the number of endpoints whose loads are kept for a service at most, beyond
	// those that are fresh.
	maxReports = 1024
)

// reportedLoad is the number of requests that an endpoint named in an answer.
type reportedLoad struct {
	requests int
	at       time.Time
}

// pressure is how pressed the endpoints of a service are.
type pressure struct {
	// running is the number of this router's requests there.
	running int
	// pressed reports whether one refused a request or had more than it answers in time, and
	// requests have waited there since; full whether the endpoint in question has, by its own word.
	pressed, full bool
}

// pressure returns how pressed the endpoints of a call's service are, and one of them.
func (pq *placeQueue) pressure(now time.Time, ca *call, en policy.Endpoint) (pr pressure) {
	pq.with(ca.service.ID, func(sq *serviceQueue) {
		re := sq.reported[en.ID]
		pr = pressure{
			running: sq.running, pressed: now.Sub(sq.pressedAt) < pressedTime,
			full: now.Sub(re.at) < reportTTL && re.requests >= ca.inTimeRoom(en),
		}
	})
	return pr
}

// refused records that an endpoint of a service refused a request.
func (pq *placeQueue) refused(now time.Time, id policy.ServiceID) {
	pq.with(id, func(sq *serviceQueue) { sq.pressedAt = now })
}

// noteReport records the load that an endpoint named in the answer to a call.
func (pq *placeQueue) noteReport(now time.Time, ca *call, en policy.Endpoint, head AnswerHead) {
	if !head.HasLoad {
		return
	}
	re := reportedLoad{requests: head.Running + head.Waiting, at: now}
	pq.with(ca.service.ID, func(sq *serviceQueue) {
		if len(sq.reported) >= maxReports {
			maps.DeleteFunc(sq.reported, func(_ policy.EndpointID, old reportedLoad) bool { return now.Sub(old.at) >= reportTTL })
		}
		sq.reported[en.ID] = re
		stillPressed := head.Waiting > 0 && now.Sub(sq.pressedAt) < pressedTime
		if stillPressed || re.requests > ca.inTimeRoom(en) {
			sq.pressedAt = now
		}
	})
}

// inTimeRoom returns the number of requests like this one with which an endpoint answers them
// in time: as many as it has slots at least.
func (ca *call) inTimeRoom(en policy.Endpoint) int {
	perSlot := inTimeShare * ca.route.LatencyTarget().Seconds() / max(float64(ca.work), minWork)
	return int(min(float64(maxOverfull*maxLoadPerSlot), max(1, perSlot)) * float64(en.Slots))
}

// minWork is the least work in seconds that a request is taken for.
const minWork = 0.001
