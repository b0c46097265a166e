package testsite

import (
	"fmt"
	"time"
)

// ReplicaDomain returns the failure domain of replica N of a service.
func (rs *RouterSite) ReplicaDomain(n int) string {
	return fmt.Sprintf("zone-%c", 'a'+(n-1)%max(1, rs.opt.ReplicaDomains))
}

// Evacuate writes the operator's order that a failure domain's replicas get nothing more.
func (rs *RouterSite) Evacuate(domain string) { rs.Store.Write("op/evacuate/"+domain, []byte("{}")) }

// EndEvacuation takes the order of Evacuate back.
func (rs *RouterSite) EndEvacuation(domain string) { rs.Store.Write("op/evacuate/"+domain, nil) }

// RegisterCold writes a ready replica's registration, which says that it is cold for a time.
func (rs *RouterSite) RegisterCold(service string, n int, release string, remaining time.Duration) {
	rs.register(service, n, release, "ready", remaining)
}
