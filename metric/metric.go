// Package metric defines the daemons' OpenTelemetry instruments and serves them in
// the Prometheus format.
package metric

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics holds a daemon's instruments. The help texts in registerInstruments say
// what each one measures; durations are in seconds. FirstToken measures the time to
// the first token, and InTime counts first tokens by KeyInTime.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	meter    metric.Meter

	Requests   metric.Int64Counter
	Attempts   metric.Int64Counter
	Retries    metric.Int64Counter
	Answers    metric.Int64Counter
	CostMicro  metric.Int64Counter
	Latency    metric.Float64Histogram
	FirstToken metric.Float64Histogram
	QueueWait  metric.Float64Histogram
	// TurnedAway counts by KeyRank and KeyCause.
	TurnedAway metric.Int64Counter
	Quality    metric.Float64Histogram
	InTime     metric.Int64Counter
	Worth      metric.Float64Counter
	Orders     metric.Int64Counter
	// SessionMoves counts by KeyCause, the reason for which a release was selected.
	SessionMoves metric.Int64Counter
	// Cascades counts the choices of models on routes that have several, by KeyOutcome.
	Cascades metric.Int64Counter
}

// The keys of the instruments' attributes.
const (
	KeyRank         = "rank"
	KeyOrganisation = "organisation"
	KeyOutcome      = "outcome"
	KeyVersion      = "version"
	KeyCause        = "cause"
	KeyInTime       = "in_time"
)

// New returns instruments with a Prometheus registry of their own.
func New() (*Metrics, error) {
	re := prometheus.NewRegistry()
	ex, err := otelprom.New(otelprom.WithRegisterer(re), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, eris.Wrap(err, "metric.New")
	}
	pr := sdk.NewMeterProvider(sdk.WithReader(ex))
	me := &Metrics{registry: re, provider: pr, meter: pr.Meter("tanager")}
	if err := me.registerInstruments(); err != nil {
		return nil, eris.Wrap(err, "metric.New")
	}
	return me, nil
}

// registerInstruments creates the instruments that are fields of me.
func (me *Metrics) registerInstruments() error {
	var err error
	counter := func(field *metric.Int64Counter, name, help string) {
		if err == nil {
			*field, err = me.meter.Int64Counter(name, metric.WithDescription(help))
		}
	}
	histogram := func(field *metric.Float64Histogram, name, help string) {
		if err == nil {
			*field, err = me.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
				metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .37, .5, 1, 2, 5, 10, 30, 60))
		}
	}
	counter(&me.Requests, "tanager_requests", "Requests by rank, organisation and outcome.")
	counter(&me.Attempts, "tanager_attempts", "Attempts at endpoints by outcome.")
	counter(&me.Retries, "tanager_retries", "Attempts after the first.")
	counter(&me.Answers, "tanager_answers", "Answers by version: the exposure of each.")
	counter(&me.CostMicro, "tanager_cost_micro_credits", "Cost of answers by version, in micro-credits.")
	counter(&me.InTime, "tanager_first_tokens", "First tokens by rank, and whether they came within the rank's target.")
	counter(&me.Orders, "tanager_orders", "Orders to endpoints by outcome.")
	counter(&me.TurnedAway, "tanager_turned_away", "Requests that got no place at an endpoint, by rank and by why they did not wait any longer.")
	counter(&me.SessionMoves, "tanager_session_moves", "Sessions that continued on another release, by reason.")
	counter(&me.Cascades, "tanager_cascade_choices", "Choices of models on routes with several, by outcome: kept or escalated.")
	histogram(&me.Latency, "tanager_latency", "Time from arrival to the answer's end.")
	histogram(&me.FirstToken, "tanager_first_token", "Time from arrival to the first token.")
	histogram(&me.QueueWait, "tanager_queue_wait", "Time in the queue.")
	if err == nil {
		me.Worth, err = me.meter.Float64Counter("tanager_worth", metric.WithDescription("Worth of answers whose first token came within the rank's target."))
	}
	if err == nil {
		me.Quality, err = me.meter.Float64Histogram("tanager_quality", metric.WithDescription("Rated quality by version."),
			metric.WithExplicitBucketBoundaries(.1, .2, .3, .4, .5, .6, .7, .8, .9, 1))
	}
	return err
}

// Gauge registers a gauge whose value read returns. read is called at each scrape.
func (me *Metrics) Gauge(name, help string, read func() float64) error {
	_, err := me.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, ob metric.Float64Observer) error {
			ob.Observe(read())
			return nil
		}))
	return eris.Wrap(err, "Metrics.Gauge")
}

// GaugeBy registers a gauge with the attribute key. read is called at each scrape and
// returns the gauge's value for each value of the attribute.
func (me *Metrics) GaugeBy(name, help, key string, read func() map[string]float64) error {
	_, err := me.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, ob metric.Float64Observer) error {
			for value, number := range read() {
				ob.Observe(number, metric.WithAttributes(attribute.String(key, value)))
			}
			return nil
		}))
	return eris.Wrap(err, "Metrics.GaugeBy")
}

// Handler returns the handler that serves the metrics to Prometheus.
func (me *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(me.registry, promhttp.HandlerOpts{})
}

// Close stops the meter provider.
func (me *Metrics) Close() { _ = me.provider.Shutdown(context.Background()) }

// With returns the option that sets a measurement's attributes. pairs alternates
// between keys and values.
func With(pairs ...string) metric.MeasurementOption {
	ats := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		ats = append(ats, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(ats...)
}
