package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/standin"
)

const (
	pathRouters = 3
	// pathRequests is how many requests the client sends, pathPause the time between them.
	pathRequests = 60
	pathPause    = 50 * time.Millisecond
)

func init() {
	scenarios["path"] = scenario{options: siteOptions{routers: pathRouters, config: rootConfig}, play: playPath}
}

// rootConfig is a configuration whose only route has the prefix /.
func rootConfig() string {
	return fmt.Sprintf(`{"version":7,"routes":[{"name":"r-all","host":%q,"prefix":"/","kind":"safe","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"chest-desk","max_attempts":2,"public":false}],`+
		`"services":[{"name":"chest-desk","health_path":"/health","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"hule930","api_keys":[%q]}]}`, routeHost, tenantKey)
}

// playPath sends requests whose paths begin with two slashes, and compares the targets that
// replicas ran with those that the client sent.
func playPath(ctx context.Context, si *site, trouble bool) (verdict, error) {
	desk, err := si.startDesk(standin.ReplicaOptions{Delay: 5 * time.Millisecond})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	first := "/"
	if trouble {
		first = "//"
	}
	sent := map[string]string{}
	for n := range pathRequests {
		id := newID()
		target := fmt.Sprintf("%sdrawers/%d?sheet=2", first, n)
		sent[id] = target
		si.record.add("sent", "%s GET %s", id, target)
		re := do(ctx, si.routers[n%pathRouters].callers, request{id: id, method: http.MethodGet, target: target, deadline: 1500 * time.Millisecond})
		si.record.add("answered", "%s %d, error %v", id, re.status, re.err)
		time.Sleep(pathPause)
	}
	runs, changed := 0, 0
	for _, re := range desk {
		for _, ru := range re.Runs() {
			si.record.add("ran", "%s %s", ru.Request, ru.Target)
			runs++
			if ru.Target != sent[ru.Request] {
				changed++
			}
		}
	}
	if runs == 0 {
		return verdict{}, fmt.Errorf("no replica ran anything")
	}
	return verdict{broken: changed > 0, text: fmt.Sprintf("replicas ran %d requests, %d of them with another path than the client sent", runs, changed)}, nil
}
