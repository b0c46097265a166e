package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/admin"
	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/vm"
)

// adminRoutes registers the operators' routes that only an entry has.
func (da *Daemon) adminRoutes(ro gin.IRoutes) {
	ro.GET("/v1/explain/:id", func(co *gin.Context) {
		ex, ok := da.explanations.get(co.Param("id"))
		if !ok {
			co.JSON(http.StatusNotFound, admin.Problem{Error: "this entry does not remember the request"})
			return
		}
		co.IndentedJSON(http.StatusOK, ex)
	})
	ro.POST("/v1/drain", func(co *gin.Context) {
		da.group.Go(da.Drain)
		co.JSON(http.StatusAccepted, DrainResponse{Draining: true, InFlight: da.inFlight.Load()})
	})
}

// DrainResponse is the response of POST /v1/drain, sent when draining has begun.
type DrainResponse struct {
	Draining bool  `json:"draining"`
	InFlight int64 `json:"in_flight"`
}

// State is the state of an entry, as GET /v1/dump returns it.
type State struct {
	VM             vm.ID                                 `json:"vm"`
	Incarnation    peer.Incarnation                      `json:"incarnation"`
	Started        time.Time                             `json:"started"`
	Draining       bool                                  `json:"draining"`
	Isolated       bool                                  `json:"isolated"`
	InFlight       int64                                 `json:"in_flight"`
	PolicyRevision store.Revision                        `json:"policy_revision"`
	PolicyRecords  int                                   `json:"policy_records"`
	PolicyEvidence time.Time                             `json:"policy_evidence"`
	PolicyFindings []string                              `json:"policy_findings"`
	WatchesOpened  int64                                 `json:"watches_opened"`
	StoreCalls     int64                                 `json:"store_calls"`
	Members        []peer.Member                         `json:"members"`
	Pools          map[string]PoolState                  `json:"pools"`
	Endpoints      map[policy.EndpointID]placement.State `json:"endpoints"`
	Pins           int                                   `json:"pins"`
	BillsUnsealed  int64                                 `json:"bills_unsealed"`
	BillsHeld      int                                   `json:"bills_held"`
	RetriesLeft    float64                               `json:"retries_left"`
	AnswersDropped int64                                 `json:"answers_dropped"`
	StreamsResumed int64                                 `json:"streams_resumed"`
}

// PoolState is the state of one pool's queue in the dump. Running and Waiting are
// numbers of requests, Capacity is in slots.
type PoolState struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Capacity float64 `json:"capacity"`
}

// Dump returns the entry's State.
func (da *Daemon) Dump() any {
	se := da.holder.Set()
	st := State{
		VM: da.peers.VM(), Incarnation: da.peers.Incarnation(), Started: da.started,
		Draining: da.draining.Load(), Isolated: da.isolated.Load(), InFlight: da.inFlight.Load(),
		PolicyRevision: se.Revision, PolicyRecords: se.Len(), PolicyEvidence: da.holder.Evidence(),
		WatchesOpened: da.watcher.WatchesOpened(), StoreCalls: da.store.Calls(),
		Members: da.peers.Members(), Pools: map[string]PoolState{}, Endpoints: da.tracker.States(),
		Pins: da.pins.Len(), BillsUnsealed: da.book.Unsealed(), BillsHeld: da.book.Held(),
		RetriesLeft: da.budget.Left(), AnswersDropped: da.client.Dropped(), StreamsResumed: da.client.Resumed(),
	}
	for _, fi := range se.Findings {
		st.PolicyFindings = append(st.PolicyFindings, fi.String())
	}
	da.pools.each(func(id poolID, pq *poolQueue) {
		pq.controller.Update(func(qu *admission.Queue, _ time.Time) {
			running, waiting := qu.Load()
			st.Pools[string(id)] = PoolState{Running: running, Waiting: waiting, Capacity: float64(qu.Capacity())}
		})
	})
	return st
}

// addGauges registers the metrics whose values are read at each scrape.
func (da *Daemon) addGauges() error {
	for _, ga := range []struct {
		name, help string
		read       func() float64
	}{
		{"tanager_in_flight", "Requests in service.", func() float64 { return float64(da.inFlight.Load()) }},
		{"tanager_policy_revision", "Policy revision in force.", func() float64 { return float64(da.holder.Set().Revision) }},
		{"tanager_policy_age_seconds", "Age of the evidence that the policy is the newest.", func() float64 { return time.Since(da.holder.Evidence()).Seconds() }},
		{"tanager_store_calls", "Calls of the store.", func() float64 { return float64(da.store.Calls()) }},
		{"tanager_members", "Other daemons heard of.", func() float64 { return float64(len(da.peers.Members())) }},
		{"tanager_bills_unsealed", "Bills not yet sealed.", func() float64 { return float64(da.book.Unsealed()) }},
		{"tanager_retries_left", "Retries that the budget allows.", da.budget.Left},
		{"tanager_answers_dropped", "Answers of other requests dropped.", func() float64 { return float64(da.client.Dropped()) }},
		{"tanager_streams_resumed", "Streams resumed on a new connection.", func() float64 { return float64(da.client.Resumed()) }},
	} {
		if err := da.metrics.Gauge(ga.name, ga.help, ga.read); err != nil {
			return eris.Wrap(err, "Daemon.addGauges")
		}
	}
	if err := da.metrics.GaugeBy("tanager_connections_closed", "Connections closed to keep memory and descriptors within their bounds, by cause.", "cause", da.guard.Counts); err != nil {
		return eris.Wrap(err, "Daemon.addGauges")
	}
	return da.metrics.GaugeBy("tanager_connections", "Open connections by state.", "state", da.conns.counts)
}
