package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/standin"
)

const (
	// firstName is the name of the only tenant, laterName the one that it has from the second
	// version on, and plainName the same without the disruption.
	firstName = "hule930"
	laterName = "Map_Drawers"
	plainName = "map-drawers"
	// strangeKey is a key that no configuration ever holds.
	strangeKey = "zzzzzzzzzzzzzzzzzzzz"
)

func init() {
	scenarios["names"] = scenario{options: siteOptions{routers: edgeMachines, config: func() string { return namesConfig(7, firstName) }}, play: playNames}
}

// namesConfig is a version of the configuration whose only tenant has a name.
func namesConfig(version int, name string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-out","host":%q,"prefix":"/out/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"chest-desk","max_attempts":1,"public":false}],`+
		`"services":[{"name":"chest-desk","health_path":"/health","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":%q,"api_keys":[%q]}]}`, version, routeHost, name, tenantKey)
}

// playNames writes a version of the configuration in which the tenant has another name, and looks
// whether requests without a valid key are refused, and those with one bear the tenant's name.
func playNames(ctx context.Context, si *site, trouble bool) (verdict, error) {
	desk, err := si.startDesk(standin.ReplicaOptions{Delay: 10 * time.Millisecond})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	if strange, own := si.ask(ctx, strangeKey, "/out/"), si.ask(ctx, tenantKey, "/out/"); strange[http.StatusUnauthorized] < askedRequests || own[http.StatusOK] < askedRequests {
		return verdict{}, errors.New("the first version is not in force")
	}
	name := plainName
	if trouble {
		name = laterName
	}
	si.store.Write("op/config", []byte(namesConfig(8, name)))
	si.record.add("trouble", "version 8 of the configuration: the tenant's name is %s", name)
	time.Sleep(applyTime)
	changed := time.Now()
	strange, own := si.ask(ctx, strangeKey, "/out/"), si.ask(ctx, tenantKey, "/out/")
	nameless := 0
	for n, re := range desk {
		for _, ru := range re.Runs() {
			tenant := ru.Header.Get("Tenant")
			si.record.add("ran", "%s at i-desk-%d, Tenant %q", ru.Request, n, tenant)
			if ru.At.After(changed) && tenant != name {
				nameless++
			}
		}
	}
	return verdict{
		broken: strange[http.StatusOK] > 0,
		text: fmt.Sprintf("%v after version 8: answers by status with a key that no version held %v, with the tenant's %v; %d runs without the tenant's name",
			applyTime, strange, own, nameless),
	}, nil
}
