package relay

import (
	"context"
	"sync"
	"time"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/policy"
)

// cascades chooses the models of requests on routes that have several: the planner where ranks and
// the length of prompts disagree, else the threshold, which serves short prompts first.
//
// mu guards planner and ranks. No other lock is taken while it is held.
type cascades struct {
	mu      sync.Mutex
	planner *cascade.Planner
	ranks   *cascade.Ranks
}

func newCascades(seed uint64) *cascades {
	return &cascades{planner: cascade.NewPlanner(seed), ranks: cascade.NewRanks()}
}

// cascadeState is what a call has seen of its models.
type cascadeState struct {
	// dropped reports whether the answer of the model with index from and its confidence was
	// dropped for a larger model, whose answer has not begun yet.
	dropped    bool
	from       int
	confidence cascade.Confidence
}

// confidenceOf returns the confidence that an answer's head states.
func confidenceOf(an *answer) cascade.Confidence { return cascade.Confidence(an.head.Confidence / 100) }

// beginCascade tells the planner of a call whose model is to be chosen.
func (ro *Router) beginCascade(ca *call) {
	if len(ca.models()) < 2 {
		return
	}
	now := time.Now()
	ca.meanBacklog = ro.meanBacklog(now, ca.service.ID, ro.fleet.forService(now, ca.service.ID))
	ro.cascades.begin(now, ro.cascadeTask(now, ca))
}

// escalates reports whether to discard an answer that has begun and to run the request on a
// larger model instead, which then has its place at an endpoint.
func (ro *Router) escalates(ctx context.Context, ca *call, an *answer) bool {
	if len(ca.models()) < 2 || !an.head.HasConfidence {
		return false
	}
	now := time.Now()
	ta, co := ro.cascadeTask(now, ca), confidenceOf(an)
	ro.cascades.learn(ca, ta, co)
	if !ca.route.Repeatable() || ca.probing || ca.noEscalation || ca.sends >= ca.route.MaxAttempts || ca.model == len(ca.models())-1 {
		return false
	}
	st := ro.cascades.next(now, ta, ca.model, co)
	escalated := st.Index != ca.model && ro.reserveLarger(ctx, ca, st.Index)
	if st.Index != ca.model && !escalated {
		st.Reason = cascade.ReasonNoPlace
	}
	ro.noteChoice(ctx, an, cascadeFields(ca, ta, st), escalated)
	if !escalated {
		return false
	}
	ca.cascade.dropped, ca.cascade.from, ca.cascade.confidence = true, ca.model, co
	ca.model, ca.mayHaveRun = st.Index, true
	return true
}

// noteChoice records whether an answer is dropped for a larger model's.
func (ro *Router) noteChoice(ctx context.Context, an *answer, fields event.Fields, escalated bool) {
	outcome, number := "kept", event.CascadeKept
	if escalated {
		outcome, number = "escalated", event.CascadeEscalated
	}
	fields["confidence"] = an.head.Confidence
	ro.metrics.Cascades.Add(ctx, 1, metric.With(metric.KeyOutcome, outcome))
	ro.log.InfoLimited(number, fields)
}

func cascadeFields(ca *call, ta cascade.Task, st cascade.Step) event.Fields {
	return event.Fields{
		"request": ca.request.ID, "route": ca.route.ID, "urgency": ca.urgency, "from": ca.modelID(), "to": ta.Options[st.Index].Model, "reason": st.Reason,
		"expected": 100 * st.Expected, "price": st.Price, "budget_used": ta.BudgetUsed,
		"pressure_ms": int64(ta.Backlog * 1000), "left_ms": int64(ta.Left * 1000),
	}
}

// cascadeTask returns a call as the choice of its model needs it.
func (ro *Router) cascadeTask(now time.Time, ca *call) cascade.Task {
	tokens, _ := ca.promptTokens()
	ta := cascade.Task{
		Service: ca.service.ID, Route: ca.route.ID, Urgency: ca.urgency, RouteUrgency: ca.route.Urgency, Prompt: tokens, Output: min(maxTokens, max(0, ca.request.ExpectedOutput)),
		Backlog: float64(ca.meanBacklog), Target: ca.route.LatencyTarget().Seconds(),
		Left:       ca.request.ReceivedAt.Add(ca.route.LatencyTarget()).Sub(now).Seconds(),
		Pause:      ca.route.GapTarget().Seconds(),
		BudgetUsed: ro.budgets.used(now, ca.service.ID, escalationShare), Repeatable: ca.route.Repeatable(),
	}
	for _, name := range ca.models() {
		work, _ := ro.latencies.estimate(latencyKey{ca.service.ID, policy.ModelID(name)}, tokens, 0)
		ta.Options = append(ta.Options, cascade.Option{Model: policy.ModelID(name), Work: float64(work)})
	}
	return ta
}

func (cs *cascades) begin(now time.Time, ta cascade.Task) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.planner.Begin(now, ta)
	cs.ranks.Add(ta)
}

func (cs *cascades) next(now time.Time, ta cascade.Task, from int, co cascade.Confidence) cascade.Step {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.ranks.Disagree(ta.Service) {
		return ta.ByThreshold(from, co)
	}
	return cs.planner.Next(now, ta, from, co)
}

// learn adds the confidence of a larger model's answer, if a smaller one's was dropped for it.
func (cs *cascades) learn(ca *call, ta cascade.Task, co cascade.Confidence) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if state := &ca.cascade; state.dropped && ca.model > state.from {
		cs.planner.AddStep(ta, state.from, ca.model, state.confidence, co)
		state.dropped = false
	}
}
