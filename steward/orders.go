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
	// inspectInterval is the time between looks at what an engine has loaded.
	inspectInterval = 5 * time.Second
	// lookLimit bounds one look, since other tasks wait for it: engines that do
	// not answer must not keep a roll-out from being aborted.
	lookLimit = time.Second
	// maxInspections bounds the engines looked at in one interval.
	maxInspections = 32
)

// ordersTask orders the engines of one failure domain to load the versions
// that their records name, and to unload those that are withdrawn. It compares
// what an engine has with what it should have, so an order that was lost, or
// carried out late for an earlier holder, is mended at the next look.
type ordersTask struct {
	daemon *Daemon
	domain policy.FailureDomain
	lookAt map[policy.EndpointID]time.Time
}

func newOrdersTask(da *Daemon, fd policy.FailureDomain) *ordersTask {
	return &ordersTask{daemon: da, domain: fd, lookAt: map[policy.EndpointID]time.Time{}}
}

// look implements task.
func (ot *ordersTask) look(ctx context.Context, ho lease.Hold) bool {
	se := ot.daemon.holder.Set()
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	left, any := maxInspections, false
	for _, en := range se.Endpoints.List() {
		if policy.FailureDomain(en.FailureDomain) != ot.domain || en.Kind != rpc.EndpointKind_ENGINE {
			continue
		}
		any = true
		if left == 0 || time.Now().Before(ot.lookAt[en.ID]) || !ot.mayOrder(en, ho) {
			continue
		}
		left--
		ot.lookAt[en.ID] = time.Now().Add(inspectInterval)
		ot.inspect(ctx, ho, se, en)
	}
	return !any
}

// mayOrder keeps a new holder from ordering an engine that does not check
// fencing tokens until the one before must have seen its own lease end: the
// store ended it, and a further time to live has passed.
func (ot *ordersTask) mayOrder(en policy.Endpoint, ho lease.Hold) bool {
	ttl := ot.daemon.set.GetSteward().GetLease().AsDuration()
	return en.ChecksFencing || time.Since(ho.Since) >= ttl
}

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
		if ve.Live() && !ot.daemon.weights.take(ctx, ve.Weights) {
			continue
		}
		ot.order(ctx, ho, en, endpoint.Order{URL: en.Url, Model: ve.EngineModel, Weights: ve.Weights, Load: ve.Live(), FencingToken: int64(ho.Token)})
	}
}

// order sends one order, while the lease is sure to be held.
func (ot *ordersTask) order(ctx context.Context, ho lease.Hold, en policy.Endpoint, or endpoint.Order) {
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

// weights paces loads by the weight store's rate.
type weights struct {
	url    string
	client *http.Client
	every  time.Duration
	freeAt time.Time
}

func newWeights(url string, perMinute float64, ne network.Network) *weights {
	return &weights{url: strings.TrimSuffix(url, "/"), client: ne.Client(1), every: time.Duration(float64(time.Minute) / perMinute)}
}

func (we *weights) close() { we.client.CloseIdleConnections() }

// take tells whether a load may be ordered now: the site's pace allows it, and
// the weight store is ready to serve the weights.
func (we *weights) take(ctx context.Context, key string) bool {
	if time.Now().Before(we.freeAt) {
		return false
	}
	we.freeAt = time.Now().Add(we.every)
	if we.url == "" {
		return true
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodHead, we.url+"/weights/"+key, nil)
	if err != nil {
		return false
	}
	rs, err := we.client.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode < http.StatusBadRequest
}
