package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// soon is when a request that was not run should come back when nothing
	// better is known.
	soon = 300 * time.Millisecond
	// leastRemaining is the time left below which a request is not sent any more.
	leastRemaining = 5 * time.Millisecond
)

// Options say how a Router works.
type Options struct {
	Dialect Dialect
	Serving *rpc.RouterServingSection
	Rollout *rpc.RouterRolloutSection
}

// Router serves the requests of routes. It is safe for concurrent use; each
// part states its own lock, and which others are taken after it.
type Router struct {
	opt      atomic.Pointer[Options]
	holder   *configuration.Holder
	client   *endpoint.Client
	peers    *peer.Group
	log      *event.Log
	metrics  *metric.Metrics
	balancer *placement.Balancer
	fleet    *fleet
	paces    *paces
	// pressures is used in large groups only.
	pressures *pressures
	budgets   *budgets
	releases  *releases
	draining  atomic.Bool
	inFlight  atomic.Int64
	// routers counts the routers heard of, this one included.
	routers atomic.Int64
}

// Parts are what a router works with.
type Parts struct {
	Holder  *configuration.Holder
	Client  *endpoint.Client
	Peers   *peer.Group
	Log     *event.Log
	Metrics *metric.Metrics
}

// New gives a router.
func New(opt Options, pa Parts) *Router {
	ro := &Router{
		holder: pa.Holder, client: pa.Client, peers: pa.Peers, log: pa.Log, metrics: pa.Metrics,
		balancer: placement.NewBalancer(uint64(time.Now().UnixNano()), pa.Peers.FailureDomain()), paces: newPaces(), pressures: newPressures(),
	}
	ro.opt.Store(&opt)
	ro.routers.Store(1)
	ro.fleet = newFleet(ro)
	ro.budgets = newBudgets(ro)
	ro.releases = newReleases(ro)
	return ro
}

// options gives what is in force.
func (ro *Router) options() *Options { return ro.opt.Load() }

// SetOptions brings other options into force; budgets start anew.
func (ro *Router) SetOptions(opt Options) {
	ro.opt.Store(&opt)
	ro.budgets.reset()
}

// Run follows the policy until ctx ends: when an endpoint vanishes is noted at
// once, not when the next request looks for it.
func (ro *Router) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := ro.holder.Changed()
		ro.fleet.refresh(time.Now())
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// InFlight counts the requests in service.
func (ro *Router) InFlight() int64 { return ro.inFlight.Load() }

// Drain lets each answer end its connection.
func (ro *Router) Drain() { ro.draining.Store(true) }

// Draining tells whether Drain was called.
func (ro *Router) Draining() bool { return ro.draining.Load() }

// Ready tells whether requests can be served.
func (ro *Router) Ready() bool {
	se := ro.holder.Set()
	return !ro.Draining() && se.Routes.Len() > 0
}

// call is one request on its way.
type call struct {
	request      *Request
	route        policy.Route
	service      policy.Service
	organisation policy.OrganisationID
	urgency      int64
	deadline     time.Time
	// tried are the endpoints that failed it, sends counts those it was sent to.
	tried []policy.EndpointID
	sends int64
	// mayHaveRun tells whether an endpoint may have run it.
	mayHaveRun bool
	// pressure is the work that waited at the mean endpoint at the last send.
	pressure placement.Work
	// model is the choice so far among the route's models; keepSmall ends the
	// choosing.
	model     int
	keepSmall bool
}

// Serve answers a request.
func (ro *Router) Serve(ctx context.Context, wr http.ResponseWriter, rq *Request) {
	ro.inFlight.Add(1)
	defer ro.inFlight.Add(-1)
	if ro.Draining() {
		wr.Header().Set("Connection", "close")
	}
	ca, re := ro.admit(rq)
	if re != nil {
		ro.refuse(wr, rq, re)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, ca.deadline)
	defer cancel()
	ro.budgets.received(rq.Arrived, ca.service.ID)
	if re := ro.run(ctx, wr, ca); re != nil {
		ro.refuse(wr, rq, re)
	}
}

func (ro *Router) refuse(wr http.ResponseWriter, rq *Request, re *Refusal) {
	now := time.Now()
	ro.metrics.Requests.Add(context.Background(), 1, metric.With(metric.KeyOutcome, string(re.Reason)))
	ro.log.Trouble(event.RequestRefused, nil, event.Fields{
		"request": rq.ID, "reason": re.Reason, "status": re.Status, "after_ms": now.Sub(rq.Arrived).Milliseconds(),
		"policy": ro.holder.Set().Revision,
	})
	re.Write(wr, now)
}

// admit decides by the policy in force whether a request may run, and where.
func (ro *Router) admit(rq *Request) (*call, *Refusal) {
	se := ro.holder.Set()
	if se.Routes.Len() == 0 {
		return nil, notRun(ReasonNoPolicy, rq.Arrived.Add(soon))
	}
	rt, ok := se.RouteOf(rq.Host, rq.Path)
	if !ok {
		return nil, &Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	ca := &call{request: rq, route: rt, urgency: rt.Urgency, deadline: rt.Deadline(rq.Arrived)}
	if !rq.Deadline.IsZero() && rq.Deadline.Before(ca.deadline) {
		ca.deadline = rq.Deadline
	}
	if re := ca.identify(se); re != nil {
		return nil, re
	}
	ca.service, ok = se.Services.ByID(rt.PickService(rq.draw(string(rt.ID))))
	if !ok {
		return nil, notRun(ReasonNoEndpoint, rq.Arrived.Add(soon))
	}
	return ca, nil
}

// identify finds the organisation by its key. Routes that are public need none.
func (ca *call) identify(se *policy.Set) *Refusal {
	or, ok := se.OrganisationByKey(ca.request.Key)
	if ok {
		ca.organisation = or.ID
		if or.Urgency != nil {
			ca.urgency = or.GetUrgency()
		}
	}
	if ok || ca.route.Public || se.Organisations.Len() == 0 {
		return nil
	}
	return &Refusal{Status: http.StatusUnauthorized, Reason: ReasonKey}
}

// models gives the models that the router may choose among; one empty name
// when the caller chose.
func (ca *call) models() []string {
	if ca.request.AnyModel && len(ca.route.Models) > 0 {
		return ca.route.Models
	}
	return []string{""}
}

func (ca *call) modelID() policy.ModelID { return policy.ModelID(ca.models()[ca.model]) }

func (ca *call) streams() bool { return ca.route.Kind == rpc.RouteKind_STREAM }

// State is the router's part of a dump.
type State struct {
	Routers   int64                                `json:"routers"`
	Endpoints map[policy.EndpointID]placement.Load `json:"endpoints"`
}

// State gives the router's part of a dump.
func (ro *Router) State() State {
	return State{Routers: ro.routers.Load(), Endpoints: ro.balancer.Loads()}
}
