package cascade_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/policy"
)

// start is when the tests begin.
var start = time.Unix(1_800_000_000, 0)

// newTask returns a request with two models and enough time, at idle endpoints.
func newTask() cascade.Task {
	return cascade.Task{
		Service: "engines", Route: "route", Prompt: 1000, Output: 100, Target: 4, Left: 4, Pause: 1.5, Repeatable: true,
		Options: []cascade.Option{{Model: "small", Work: 0.02}, {Model: "large", Work: 0.1}},
	}
}

// next returns what a new planner chooses on an answer of the smallest model.
func next(ta cascade.Task, co cascade.Confidence) cascade.Step {
	pl := cascade.NewPlanner(1)
	pl.Begin(start, ta)
	return pl.Next(start, ta, 0, co)
}

func TestConfidentAnswerIsKept(t *testing.T) {
	qt.Assert(t, next(newTask(), 0.9).Index, qt.Equals, 0)
	qt.Assert(t, next(newTask(), 0.1).Index, qt.Equals, 1)
}

func TestUnrepeatableRequestKeepsItsAnswer(t *testing.T) {
	ta := newTask()
	ta.Repeatable = false
	qt.Assert(t, next(ta, 0).Index, qt.Equals, 0)
}

// TestNoPlannedRunBeyondTimeLeft checks that a run which cannot begin its answer within the
// latency target is not begun, whatever the gain.
func TestNoPlannedRunBeyondTimeLeft(t *testing.T) {
	ta := newTask()
	ta.Options[1].Work, ta.Backlog, ta.Left = 0.5, 0.6, 0.6
	st := next(ta, 0.01)
	qt.Assert(t, st.Index, qt.Equals, 0)
	qt.Assert(t, st.Reason, qt.Equals, cascade.ReasonNoTime)
	ta.Left = 4
	qt.Assert(t, next(ta, 0.01).Index, qt.Equals, 1)
}

// TestPlannerKeepsLongPromptsOnSmallModelFirst checks that a growing backlog stops the escalation of
// long prompts before that of short ones: they delay all other requests.
func TestPlannerKeepsLongPromptsOnSmallModelFirst(t *testing.T) {
	for _, backlog := range []float64{0, 1.5} {
		pl := cascade.NewPlanner(1)
		short, long := newTask(), newTask()
		short.Route, long.Route, long.Prompt, long.Options[1].Work = "short", "long", 20000, 1
		short.Backlog, long.Backlog, short.Target, long.Target, short.Left, long.Left = backlog, backlog, 6, 6, 6, 6
		for range 20 {
			pl.Begin(start, short)
			pl.Begin(start, long)
		}
		qt.Check(t, pl.Next(start, short, 0, 0.3).Index, qt.Equals, 1)
		qt.Check(t, pl.Next(start, long, 0, 0.3).Index == 1, qt.Equals, backlog == 0)
	}
}

// TestUrgentRequestGetsScarceRoom has two requests that differ in rank only, at endpoints with a
// long backlog: the room goes to the urgent one, whether the request or its route ranks higher.
func TestUrgentRequestGetsScarceRoom(t *testing.T) {
	for _, ranks := range [][2]int64{{2, 0}, {0, 2}} {
		pl := cascade.NewPlanner(1)
		urgent, other := newTask(), newTask()
		urgent.Backlog, other.Backlog = 1, 1
		other.Urgency, other.RouteUrgency = ranks[0], ranks[1]
		for range 20 {
			pl.Begin(start, urgent)
			pl.Begin(start, other)
		}
		qt.Check(t, pl.Next(start, urgent, 0, 0.2).Index, qt.Equals, 1)
		st := pl.Next(start, other, 0, 0.2)
		qt.Check(t, st.Index, qt.Equals, 0)
		qt.Check(t, st.Reason, qt.Equals, cascade.ReasonPrice)
	}
}

// TestPriceFollowsTheBacklog checks that the price of room rises while the backlog is long, and
// falls again at once and further with time.
func TestPriceFollowsTheBacklog(t *testing.T) {
	pl := cascade.NewPlanner(1)
	ta := newTask()
	pl.Begin(start, ta)
	idle := pl.Price("engines")
	ta.Backlog = 1
	pl.Begin(start.Add(time.Second), ta)
	first := pl.Price("engines")
	pl.Begin(start.Add(2*time.Second), ta)
	qt.Assert(t, first > 2*idle, qt.IsTrue)
	qt.Assert(t, pl.Price("engines") > first, qt.IsTrue)
	ta.Backlog = 0
	pl.Begin(start.Add(3*time.Second), ta)
	qt.Assert(t, pl.Price("engines") < 1.5*idle, qt.IsTrue)
}

// TestSpentRetryBudgetStopsTheLeastWorth has little of the retry budget left. What is left goes to
// the requests that gain most.
func TestSpentRetryBudgetStopsTheLeastWorth(t *testing.T) {
	ta := newTask()
	ta.BudgetUsed = 0.98
	qt.Assert(t, next(ta, 0.55).Index, qt.Equals, 0)
	qt.Assert(t, next(ta, 0.05).Index, qt.Equals, 1)
	ta.BudgetUsed = 0.5
	qt.Assert(t, next(ta, 0.55).Index, qt.Equals, 1)
}

// TestLargerModelThatIsNoBetterIsNotUsed shows the planner answers of a large model that is no
// surer than the small one on the same requests.
func TestLargerModelThatIsNoBetterIsNotUsed(t *testing.T) {
	pl := cascade.NewPlanner(1)
	ta := newTask()
	qt.Assert(t, pl.Next(start, ta, 0, 0.3).Index, qt.Equals, 1)
	for range 100 {
		pl.AddStep(ta, 0, 1, 0.3, 0.3)
	}
	qt.Assert(t, pl.Next(start, ta, 0, 0.3).Index, qt.Equals, 0)
}

// TestMiddleModelIsUsedWhereItDoes has a middle model whose answers are as good as those of the
// largest one and take a fifth of the time, on one route.
func TestMiddleModelIsUsedWhereItDoes(t *testing.T) {
	pl := cascade.NewPlanner(3)
	ta := newTask()
	ta.Options = []cascade.Option{{Model: "small", Work: 0.02}, {Model: "middle", Work: 0.1}, {Model: "large", Work: 0.5}}
	pl.Begin(start, ta)
	qt.Assert(t, pl.Next(start, ta, 0, 0.1).Index, qt.Equals, 2)
	for range 100 {
		pl.AddStep(ta, 0, 1, 0.1, 0.95)
		pl.AddStep(ta, 0, 2, 0.1, 0.95)
	}
	qt.Assert(t, pl.Next(start, ta, 0, 0.1).Index, qt.Equals, 1)
}

// TestGainsAreKnownOnSitesWithManyRoutes lets answers on more and more routes show that the large model
// is no better. On a new route, and on the first one, no request is run again for so little.
func TestGainsAreKnownOnSitesWithManyRoutes(t *testing.T) {
	pl, ta := cascade.NewPlanner(1), newTask()
	again := func(route policy.RouteID) bool {
		ta.Route = route
		pl.Begin(start, ta)
		return pl.Next(start, ta, 0, 0.4).Index != 0
	}
	qt.Assert(t, again("new"), qt.IsTrue, qt.Commentf("nothing is known yet"))
	for n := range 5000 {
		for range max(1, 100-n) {
			ta.Route = policy.RouteID(fmt.Sprint("route-", n))
			pl.AddStep(ta, 0, 1, 0.4, 0.4)
		}
		qt.Assert(t, again("new"), qt.IsFalse, qt.Commentf("%d routes", n+1))
		qt.Assert(t, again("route-0"), qt.IsFalse, qt.Commentf("%d routes", n+1))
	}
}
