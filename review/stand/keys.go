package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"tanagerpoint.example/tanager/standin"
)

const (
	// manyKeys is how many API keys the tenant has in the second version, fewKeys the same
	// without the disruption. The value of op/config then has about 100 kB: the store takes 1 MB.
	manyKeys = 4000
	fewKeys  = 400
)

func init() {
	scenarios["keys"] = scenario{options: siteOptions{routers: edgeMachines, config: func() string { return keysConfig(7, 10, "revoked", "/look/") }}, play: playKeys}
}

// keysConfig is a version of the configuration: the only tenant has a number of keys, and a last
// one, and there is a route for each of the prefixes.
func keysConfig(version, keys int, last string, prefixes ...string) string {
	var routes, texts []string
	for n, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","host":%q,"prefix":%q,"kind":"safe","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"chest-desk","max_attempts":2,"public":false}`, n, routeHost, prefix))
	}
	for n := range keys {
		texts = append(texts, fmt.Sprintf("%q", numberedKey(n)))
	}
	texts = append(texts, fmt.Sprintf("%q", last))
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"chest-desk","health_path":"/health","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"hule930","api_keys":[%s]}]}`, version, strings.Join(routes, ","), strings.Join(texts, ","))
}

func numberedKey(n int) string { return fmt.Sprintf("key%017d", n) }

// playKeys writes a version of the configuration that takes one key away, and adds others and a
// route, and looks which version is in force afterwards.
func playKeys(ctx context.Context, si *site, trouble bool) (verdict, error) {
	if _, err := si.startDesk(standin.ReplicaOptions{Delay: 10 * time.Millisecond}); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	before := si.ask(ctx, "revoked", "/look/")
	if before[http.StatusOK] < askedRequests {
		return verdict{}, errors.New("the first version is not in force")
	}
	keys := fewKeys
	if trouble {
		keys = manyKeys
	}
	text := keysConfig(8, keys, "added", "/look/", "/sheets/")
	si.store.Write("op/config", []byte(text))
	si.record.add("trouble", "version 8 of the configuration, %d bytes, %d keys", len(text), keys+1)
	time.Sleep(applyTime)
	revoked, added, route := si.ask(ctx, "revoked", "/look/"), si.ask(ctx, "added", "/look/"), si.ask(ctx, numberedKey(0), "/sheets/")
	stale := revoked[http.StatusOK] + added[http.StatusUnauthorized] + route[http.StatusNotFound]
	return verdict{
		broken: stale > 0,
		text: fmt.Sprintf("%v after version 8: answers by status with the key taken away %v, with the new key %v, on the new route %v",
			applyTime, revoked, added, route),
	}, nil
}
