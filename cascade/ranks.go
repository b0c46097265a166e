package cascade

import "tanagerpoint.example/tanager/policy"

const (
	// longerFactor is by how much the prompts of a more urgent route are longer on average for
	// ranks and the length of prompts to disagree.
	longerFactor = 2
	// minRequests is the number of requests of a route from which on its mean is used. One of many
	// routers gets few.
	minRequests = 4
)

// Ranks knows, by service, whether its more urgent routes have the longer prompts. It answers loads
// in which the room for larger models would go to whom it helps least: the threshold of Escalation
// keeps long prompts on the small model first, which are then the most urgent ones. Ranks is not
// safe for concurrent use.
type Ranks struct {
	services map[policy.ServiceID]map[policy.RouteID]*routePrompts
}

// routePrompts is the mean length of the prompts of one route.
type routePrompts struct {
	urgency int64
	bin
}

// NewRanks returns a Ranks that has seen no requests.
func NewRanks() *Ranks {
	return &Ranks{services: map[policy.ServiceID]map[policy.RouteID]*routePrompts{}}
}

// Add adds a request to the mean of its route.
func (ra *Ranks) Add(ta Task) {
	routes, ok := ra.services[ta.Service]
	if !ok {
		routes = map[policy.RouteID]*routePrompts{}
		ra.services[ta.Service] = routes
	}
	rp := entryOf(routes, ta.Route, maxRoutes)
	rp.urgency = ta.RouteUrgency
	rp.add(float64(ta.Prompt))
}

// Disagree reports whether a route of a service has longer prompts than a less urgent one.
func (ra *Ranks) Disagree(id policy.ServiceID) bool {
	for _, rp := range ra.services[id] {
		for _, other := range ra.services[id] {
			known := min(rp.weight, other.weight) >= minRequests
			if known && rp.urgency < other.urgency && rp.mean > longerFactor*other.mean {
				return true
			}
		}
	}
	return false
}

// ByThreshold chooses by the confidence and the room that is left, without regard to ranks: the
// model with index from, whose answer has begun, or the largest one.
func (ta Task) ByThreshold(from int, co Confidence) Step {
	last := len(ta.Options) - 1
	st := Step{Index: from, Expected: float64(co.quality()), Reason: ReasonThreshold}
	es := Escalation{Confidence: 100 * float64(co), Work: ta.Options[last].Work, Backlog: ta.Backlog, TimeLeft: ta.Left}
	if ta.Repeatable && from < last && es.ShouldEscalate() {
		st.Index = last
	}
	return st
}
