package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/standin"
)

const (
	// scribeReplicas is the number of replicas of tanager-scribes on the sheet of
	// bagmati-drawers, scribeRate and deskRate are its requests a second.
	scribeReplicas = 9
	scribeRate     = 48.1
	deskRate       = 17.3
	// inTrouble is how many of the replicas of tanager-scribes send bytes without end.
	inTrouble = 7
	// routerMemory is the sheet's memory of a machine.
	routerMemory = 134 * mebibyte
	// calmTime is the time before the trouble, troubleTime the time of the trouble.
	calmTime    = 5 * time.Second
	troubleTime = 50 * time.Second
)

func init() {
	scenarios["endless"] = scenario{
		options: siteOptions{routers: edgeMachines, config: endlessConfig, memoryLimit: routerMemory},
		play:    playEndless,
	}
}

// endlessConfig is a configuration with a streaming route and an unsafe one.
func endlessConfig() string {
	return fmt.Sprintf(`{"version":7,"routes":[`+
		`{"name":"r-note","host":%[1]q,"prefix":"/note/","kind":"streaming","timeout_ms":20000,"target_latency_ms":1000,"priority":0,"service":"tanager-scribes","max_attempts":3,"public":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":800},`+
		`{"name":"r-out","host":%[1]q,"prefix":"/out/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"chest-desk","max_attempts":1,"public":false}],`+
		`"services":[{"name":"tanager-scribes","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_tokens":484470}},{"name":"chest-desk","health_path":"/health","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"hule930","api_keys":[%[2]q]}]}`, routeHost, tenantKey)
}

// playEndless has most replicas of one service send bytes without end, and looks whether the
// routers, which also carry the requests of the other service, stay within their memory.
func playEndless(ctx context.Context, si *site, trouble bool) (verdict, error) {
	var engines []*engine
	for n := range scribeReplicas {
		en := &engine{id: fmt.Sprintf("i-scribe-%d", n), record: si.record}
		address, err := si.serve(en)
		if err != nil {
			return verdict{}, err
		}
		si.register("tanager-scribes", en.id, address, zoneOf(n), 64, `[{"name":"daka510000","version":1,"adapters":[]}]`)
		engines = append(engines, en)
	}
	desk, err := si.startDesk(standin.ReplicaOptions{Delay: 30 * time.Millisecond, Slots: 6, Queue: 24})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	end := time.Now().Add(calmTime + troubleTime)
	orders := make(chan counts, 1)
	go func() { orders <- si.traffic(ctx, deskRate, end, orderRequest) }()
	si.traffic(ctx, scribeRate, time.Now().Add(calmTime), noteRequest)
	if trouble {
		for _, en := range engines[:inTrouble] {
			en.trouble.Store(true)
			si.record.add("trouble", "%s sends bytes without end", en.id)
		}
	}
	notes := si.traffic(ctx, scribeRate, end, noteRequest)
	out := <-orders
	si.recordRuns(desk)
	broken, text := si.judgeEnds()
	return verdict{broken: broken, text: fmt.Sprintf("%s; notes by status %v; orders by status %v", text, notes, out)}, nil
}

// orderRequest returns an unsafe request to chest-desk, noteRequest a streaming one to
// tanager-scribes.
func orderRequest() request {
	id := newID()
	return request{id: id, method: http.MethodPost, target: "/out/" + id, body: "drawer", deadline: 1500 * time.Millisecond}
}

func noteRequest() request {
	id := newID()
	return request{id: id, method: http.MethodPost, target: "/note/" + id, body: "prompt", deadline: 20 * time.Second, header: map[string]string{
		"Model": "daka510000", "Token-Usage": "826,294", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:198,%s:628", id),
	}}
}
