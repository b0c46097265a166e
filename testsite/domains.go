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

// The bound of the requests that a cold replica gets.
const (
	coldFactor = 1.5
	coldSlack  = 5
)

// MaxColdRequests returns how many requests a cold replica may get in any second if it bears a number
// of them a second: half as many again, and 5 more.
func MaxColdRequests(perSecond float64) float64 { return coldFactor*perSecond + coldSlack }
