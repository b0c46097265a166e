package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quarantine"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/session"
)

const (
	// defaultRetryDelay is the delay after which a caller should retry a request
	// that was not run, if there is no better estimate.
	defaultRetryDelay = 300 * time.Millisecond
	// minRemaining is the minimum time left before the deadline to send a request.
	minRemaining = 5 * time.Millisecond
)

// Options are the settings of a Router that may change while it runs.
type Options struct {
	Dialect Dialect
	Serving *rpc.RouterServingSection
	Rollout *rpc.RouterRolloutSection
}

// heldShare is the part of the process's memory that answers hold which are not whole, and bodies
// of requests as much. The heap grows to twice what it holds.
const heldShare = 0.25

// HeldBytes returns how much memory bodies of requests may hold in a router with a number of MiB.
func HeldBytes(memoryMB float64) int64 { return int64(heldShare * memoryMB * (1 << 20)) }

func (opt Options) heldBytes() int64 { return HeldBytes(opt.Serving.GetMemoryMb()) }

// MaxHeldBytes returns how much memory bodies of requests may hold.
func (ro *Router) MaxHeldBytes() int64 { return ro.options().heldBytes() }

// HeldBytes returns the memory that answers hold which are not whole, or are being given up.
func (ro *Router) HeldBytes() int64 { return ro.memory.Held() }

// Router serves the requests of routes. It is safe for concurrent use; each
// part documents its own lock, and which others are taken after it.
type Router struct {
	// current holds the options in force.
	current   atomic.Pointer[Options]
	holder    *configuration.Holder
	client    *endpoint.Client
	peers     *peer.Group
	pins      *session.Pins
	barred    *quarantine.List
	log       *event.Log
	metrics   *metric.Metrics
	balancer  *placement.Balancer
	fleet     *fleet
	latencies *latencies
	limits    *limit.Limits
	pauses    *limit.Pauses
	brittle   *limit.Brittle
	// queue holds the requests that wait for a place at an endpoint.
	queue *placeQueue
	// backlogs is used in large groups only.
	backlogs *backlogAverages
	budgets  *retryBudgets
	releases *releaseSelector
	paths    *endpoint.Paths
	carriers *carriers
	shutdown *shutdown
	// memory is that of answers which are not whole yet.
	memory *limit.Memory[policy.EndpointID]
	// durations are those of the routes' requests.
	durations *durations
	cascades  *cascades
	inFlight  atomic.Int64
	// routers is the number of known routers, including this one.
	routers atomic.Int64
}

// Dependencies are the components that a Router uses.
type Dependencies struct {
	Holder *configuration.Holder
	Client *endpoint.Client
	// Paths are those that the client's connections to endpoints take.
	Paths *endpoint.Paths
	Peers *peer.Group
	Pins  *session.Pins
	// Quarantine holds the prompt parts that no endpoint may get.
	Quarantine *quarantine.List
	Log        *event.Log
	Metrics    *metric.Metrics
}

// New returns a Router.
func New(opt Options, de Dependencies) *Router {
	ro := &Router{
		holder: de.Holder, client: de.Client, paths: de.Paths, peers: de.Peers, pins: de.Pins, barred: de.Quarantine, log: de.Log, metrics: de.Metrics,
		memory:   limit.NewMemory[policy.EndpointID](opt.heldBytes()),
		shutdown: newShutdown(), durations: newDurations(), cascades: newCascades(uint64(time.Now().UnixNano())),
		balancer: placement.NewBalancer(uint64(time.Now().UnixNano()), de.Peers.FailureDomain()), latencies: newLatencies(), limits: limit.New(time.Now(), de.Peers, de.Holder, de.Log), pauses: limit.NewPauses(),
		brittle: limit.NewBrittle(time.Now(), de.Peers, de.Holder, de.Log), queue: newPlaceQueue(), backlogs: newBacklogAverages(),
	}
	ro.current.Store(&opt)
	ro.routers.Store(1)
	ro.fleet = newFleet(ro)
	ro.budgets = newRetryBudgets(ro)
	ro.releases = newReleaseSelector(ro)
	ro.carriers = newCarriers(ro)
	return ro
}

// options returns the options in force.
func (ro *Router) options() *Options { return ro.current.Load() }

// SetOptions replaces the options and resets the retry budgets.
func (ro *Router) SetOptions(opt Options) {
	ro.current.Store(&opt)
	ro.budgets.reset()
}

// Run updates the endpoints at each change of the policy until ctx is cancelled.
// The time at which an endpoint disappears is thus recorded at once, not at the
// next request to its service.
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

// PinSessions pins the sessions that this router serves when it learns of a roll-out,
// until ctx is cancelled.
func (ro *Router) PinSessions(ctx context.Context) {
	for ctx.Err() == nil {
		changed := ro.holder.Changed()
		ro.releases.pinRunning(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// InFlight returns the number of requests being served.
func (ro *Router) InFlight() int64 { return ro.inFlight.Load() }

// Ready reports whether the router can serve requests: it has routes and is not
// draining.
func (ro *Router) Ready() bool {
	se := ro.holder.Set()
	return !ro.Draining() && se.Routes.Len() > 0
}

// call is the state of a request being served.
type call struct {
	request *Request
	route   policy.Route
	service policy.Service
	// organisation is the caller's, nil if it has none.
	organisation *policy.OrganisationID
	fingerprint  policy.Fingerprint
	urgency      int64
	deadline     time.Time
	// failedEndpoints are the endpoints at which an attempt failed; sends is the
	// number of sends that count towards the route's maximum.
	failedEndpoints []policy.EndpointID
	sends           int64
	// outlast makes the call go on when a shutdown ends the requests in service.
	outlast func() bool
	// givenUp holds the endpoints that were given up for another one because they were silent.
	givenUp []policy.EndpointID
	// replacement is the attempt to go on with, after one was given up for it.
	replacement *attempt
	// insistsUntil is when the call stops to try endpoints to which there is no path, zero
	// before the first one.
	insistsUntil time.Time
	// mayHaveRun reports whether an endpoint may have run the request.
	mayHaveRun bool
	// counted is closed when the last crash under the call has been counted, nil if there was none.
	counted <-chan struct{}
	// probing reports whether the request was let through although a part of its prompt is
	// in quarantine. It is then sent once.
	probing bool
	// meanBacklog is the mean work queued at an endpoint before the last attempt.
	meanBacklog placement.Work
	// work is the work until its answer begins; evenPart is this router's even part of the
	// places at its service's endpoints.
	work     placement.Work
	evenPart int
	// denial is why it got no place the last time it looked for one, nil if it got one or was not
	// turned away.
	denial *placeDenial
	// returnAt is when its caller should come back, if there was no place for it; zero if that
	// is not known.
	returnAt time.Time
	// model is the index of the current model in models; noEscalation prevents a
	// change to a larger one.
	model        int
	noEscalation bool
	cascade      cascadeState
}

// Serve serves a request and blocks until it has been answered.
func (ro *Router) Serve(ctx context.Context, wr http.ResponseWriter, rq *Request) {
	ro.inFlight.Add(1)
	defer ro.inFlight.Add(-1)
	ca, re := ro.admit(rq)
	if ro.Draining() {
		wr.Header().Set("Connection", "close")
		if re == nil {
			re = ro.refuseDraining(time.Now(), ca)
		}
	}
	if re != nil {
		ro.refuse(wr, rq, re)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, ca.deadline)
	defer cancel()
	defer func() { ca.takeReplacement().cancel() }()
	ca.outlast = context.AfterFunc(ro.shutdown.ended, cancel)
	defer ca.outlast()
	ro.budgets.recordRequest(rq.ReceivedAt, ca.service.ID)
	if re := ro.run(ctx, wr, ca); re != nil {
		ro.refuse(wr, rq, re)
		return
	}
	ro.durations.observe(ca.route.ID, time.Since(rq.ReceivedAt))
}

func (ro *Router) refuse(wr http.ResponseWriter, rq *Request, re *Refusal) {
	now := time.Now()
	ro.metrics.Requests.Add(context.Background(), 1, metric.With(metric.KeyOutcome, string(re.Reason)))
	ro.log.WarnLimited(event.RequestRefused, nil, event.Fields{
		"request": rq.ID, "reason": re.Reason, "status": re.Status, "after_ms": now.Sub(rq.ReceivedAt).Milliseconds(),
		"policy": ro.holder.Set().Revision,
	})
	re.Write(wr, now)
}

// admit checks a request against the policy in force, and returns the call with
// its route, service and deadline.
func (ro *Router) admit(rq *Request) (*call, *Refusal) {
	se := ro.holder.Set()
	if se.Routes.Len() == 0 && se.ConfigurationVersion() == 0 {
		return nil, refuseNotRun(ReasonNoPolicy, rq.ReceivedAt.Add(defaultRetryDelay))
	}
	rt, ok := se.RouteOf(rq.Host, rq.Path)
	if !ok {
		return nil, &Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	ca := &call{request: rq, route: rt, urgency: rt.Urgency, deadline: rt.Deadline(rq.ReceivedAt)}
	if !rq.Deadline.IsZero() && rq.Deadline.Before(ca.deadline) {
		ca.deadline = rq.Deadline
	}
	if re := ro.setOrganisation(ca, se); re != nil {
		return nil, re
	}
	ca.service, ok = se.Services.ByID(rt.PickService(rq.sessionFraction(string(rt.ID))))
	if !ok {
		return nil, refuseNotRun(ReasonNoEndpoint, rq.ReceivedAt.Add(defaultRetryDelay))
	}
	ca.fingerprint = rq.fingerprint(ca.organisationID())
	return ca, nil
}

// setOrganisation sets the call's organisation from the API key. It refuses unknown keys,
// except on public routes or if the configuration needs none, and the keys of an organisation
// whose name endpoints cannot be told.
func (ro *Router) setOrganisation(ca *call, se *policy.Set) *Refusal {
	or, ok := se.OrganisationByKey(ca.request.Key)
	switch {
	case ok && !ro.options().Dialect.Represents(string(or.ID)):
		return refuseNotRun(ReasonUnrepresentable, ca.deadline)
	case ok:
		ca.organisation = &or.ID
		if or.Urgency != nil {
			ca.urgency = or.GetUrgency()
		}
	case !ca.route.Public && se.KeysRequired():
		return &Refusal{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	return nil
}

// organisationID returns the ID of the caller's organisation, "" if it has none.
func (ca *call) organisationID() policy.OrganisationID {
	if ca.organisation == nil {
		return ""
	}
	return *ca.organisation
}

// models returns the models that the router may select from, or a single "" if
// the caller chose the model.
func (ca *call) models() []string {
	if ca.request.AnyModel && len(ca.route.Models) > 0 {
		return ca.route.Models
	}
	return []string{""}
}

func (ca *call) modelID() policy.ModelID { return policy.ModelID(ca.models()[ca.model]) }

func (ca *call) wantsStream() bool { return ca.route.Kind == rpc.RouteKind_STREAM }

// State is the state of a Router in a dump.
type State struct {
	Routers   int64                                `json:"routers"`
	Endpoints map[policy.EndpointID]placement.Load `json:"endpoints"`
	// Others are the loads that the other routers have placed on endpoints.
	Others map[policy.EndpointID]placement.Load `json:"others"`
	// Limits are the requests a second that endpoints take from all routers together.
	Limits map[policy.EndpointID]limit.Rate `json:"limits"`
	// Brittle are the services whose endpoints are brittle, with the refusals in a second that
	// each endpoint bears.
	Brittle map[policy.ServiceID]int `json:"brittle"`
	// Blocked are the endpoints that get no request now.
	Blocked map[policy.EndpointID]Blocked `json:"blocked"`
	// Evacuated are the failure domains that are evacuated.
	Evacuated map[policy.FailureDomain]Evacuation `json:"evacuated"`
	// Queues are the services for whose endpoints requests wait.
	Queues map[policy.ServiceID]QueueState `json:"queues"`
	// PathLost reports whether this router has no path to any endpoint; LostServices are the
	// services to whose endpoints it has none; Carrying is the number of attempts that it
	// carries for peers now.
	PathLost     bool               `json:"path_lost"`
	LostServices []policy.ServiceID `json:"lost_services"`
	Carrying     int64              `json:"carrying"`
}

// State returns the router's state for a dump.
func (ro *Router) State() State {
	return State{Routers: ro.routers.Load(), Endpoints: ro.balancer.Loads(), Others: ro.balancer.PeerLoads(time.Now()), Limits: ro.limits.Rates(), Brittle: ro.brittle.Refusals(time.Now()), Blocked: ro.Blocked(), Evacuated: ro.Evacuations(), Queues: ro.queue.state(time.Now()), PathLost: ro.PathLost(), LostServices: ro.LostServices(), Carrying: ro.carriers.carrying.Load()}
}
