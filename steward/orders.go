package steward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// inspectInterval is the minimum time between two requests for one engine's
	// loaded models.
	inspectInterval = 5 * time.Second
	// ordersRunTimeout bounds one run of an orders task. All tasks of a steward
	// share one goroutine, so engines that do not answer must not delay the abort
	// of a roll-out.
	ordersRunTimeout = time.Second
	// maxInspections is the maximum number of engines inspected in one run. The next
	// run inspects the others.
	maxInspections = 32
)

// ordersTask orders the engines of one failure domain to load the versions
// listed in their endpoint records and to unload those that are withdrawn. It
// compares the models that an engine has loaded with the ones that it should
// have, so the next inspection corrects an order that was lost, or that was sent
// by an earlier lease holder and carried out late.
type ordersTask struct {
	daemon *Daemon
	domain policy.FailureDomain
	// inspectAt is the earliest time of an engine's next inspection.
	inspectAt map[policy.EndpointID]time.Time
}

func newOrdersTask(da *Daemon, fd policy.FailureDomain) *ordersTask {
	return &ordersTask{daemon: da, domain: fd, inspectAt: map[policy.EndpointID]time.Time{}}
}

// run implements task. The task is done when its failure domain has no engines.
func (ot *ordersTask) run(ctx context.Context, ho lease.Hold) bool {
	se := ot.daemon.holder.Set()
	ctx, cancel := context.WithTimeout(ctx, ordersRunTimeout)
	defer cancel()
	left, hasEngines := maxInspections, false
	for _, en := range se.Endpoints.List() {
		if policy.FailureDomain(en.FailureDomain) != ot.domain || en.Kind != rpc.EndpointKind_ENGINE {
			continue
		}
		hasEngines = true
		if left == 0 || time.Now().Before(ot.inspectAt[en.ID]) || !ot.mayOrder(en, ho) {
			continue
		}
		left--
		ot.inspectAt[en.ID] = time.Now().Add(inspectInterval)
		ot.inspect(ctx, ho, se, en)
	}
	return !hasEngines
}

// mayOrder reports whether the holder may send orders to an engine. An engine that
// does not check fencing tokens could still carry out orders of the previous
// holder. A new holder therefore sends it nothing until one lease TTL after taking
// the lease, when the previous holder must have noticed that its own has expired.
func (ot *ordersTask) mayOrder(en policy.Endpoint, ho lease.Hold) bool {
	ttl := ot.daemon.settings.GetSteward().GetLease().AsDuration()
	return en.ChecksFencing || time.Since(ho.Since) >= ttl
}

// inspect requests the models that an engine has loaded. It orders the engine to load
// live versions of its endpoint record that are missing, and to unload withdrawn ones.
// Versions without a key in the weight store get no orders.
func (ot *ordersTask) inspect(ctx context.Context, ho lease.Hold, se *policy.Set, en policy.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	loaded, err := ot.daemon.client.LoadedModels(ctx, en.Url)
	if err != nil {
		return
	}
	for _, name := range en.Versions {
		ve, ok := se.Versions.ByID(policy.VersionID(name))
		if !ok || ve.Weights == "" || ve.Live() == slices.Contains(loaded, ve.EngineModel) {
			continue
		}
		if ve.Live() && !ot.daemon.loadLimiter.allow(ctx, ve.Weights) {
			continue
		}
		ot.sendOrder(ctx, ho, en, endpoint.Order{URL: en.Url, Model: ve.EngineModel, Weights: ve.Weights, Load: ve.Live(), FencingToken: int64(ho.Token)})
	}
}

// sendOrder sends one order, unless the task's lease may have expired, and logs and
// counts its outcome.
func (ot *ordersTask) sendOrder(ctx context.Context, ho lease.Hold, en policy.Endpoint, or endpoint.Order) {
	da := ot.daemon
	if _, ok := da.leases.Holds(ho.Task); !ok {
		return
	}
	err := da.client.SendOrder(ctx, or)
	fields := event.Fields{"endpoint": en.ID, "model": or.Model, "load": or.Load, "fencing_token": or.FencingToken}
	switch {
	case err == nil:
		da.log.Info(event.OrderSent, fields)
		da.metrics.Orders.Add(ctx, 1, metric.With(metric.KeyOutcome, "carried_out"))
	case errors.Is(err, endpoint.ErrFenced):
		da.log.Warn(event.OrderRefused, err, fields)
		da.metrics.Orders.Add(ctx, 1, metric.With(metric.KeyOutcome, "fenced"))
	default:
		da.log.Warn(event.OrderRefused, err, fields)
		da.metrics.Orders.Add(ctx, 1, metric.With(metric.KeyOutcome, "failed"))
	}
}

// loadLimiter limits the loads that this steward orders to the rate at which the
// weight store serves weights: one in each interval, and none while the store is not
// ready. It is used by one goroutine.
type loadLimiter struct {
	// url is the base URL of the weight store, "" if there is none.
	url      string
	client   *http.Client
	interval time.Duration
	// nextAt is the earliest time of the next load.
	nextAt time.Time
}

func newLoadLimiter(url string, perMinute float64, ne network.Network) *loadLimiter {
	return &loadLimiter{url: strings.TrimSuffix(url, "/"), client: ne.Client(1), interval: time.Duration(float64(time.Minute) / perMinute)}
}

func (ll *loadLimiter) close() { ll.client.CloseIdleConnections() }

// allow reports whether a load of the weights may be ordered now: the interval has
// passed, and the weight store, if there is one, is ready to serve them. Each call
// after the interval has passed starts a new one, also if the store is not ready.
func (ll *loadLimiter) allow(ctx context.Context, key string) bool {
	if time.Now().Before(ll.nextAt) {
		return false
	}
	ll.nextAt = time.Now().Add(ll.interval)
	if ll.url == "" {
		return true
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodHead, ll.url+"/weights/"+key, nil)
	if err != nil {
		return false
	}
	rs, err := ll.client.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode < http.StatusBadRequest
}
