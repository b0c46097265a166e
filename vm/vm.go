// Package vm polls the platform's VM list, which is in the format of Prometheus HTTP
// service discovery. The list lags behind the state of the VMs.
package vm

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

// ID identifies a VM.
type ID string

// State is the state of a VM in the list.
type State string

// The states of a VM. A leaving VM gets no new work, and callers are not sent to it.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is the kind of program that a VM runs.
type Role string

// The roles of a VM.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	maxListBytes = 16 << 20
)

// VM is one target of the list. Address is the address of the VM's listener for
// peers, or of its endpoint.
type VM struct {
	ID      ID
	Role    Role
	State   State
	Address string
	// Endpoint is the id of the endpoint that runs on the VM, if any.
	Endpoint string
}

// TargetGroup is one element of the list in its JSON format.
type TargetGroup struct {
	Targets []string `json:"targets"`
	Labels  Labels   `json:"labels"`
}

// Labels are the labels of a target group that this package reads.
type Labels struct {
	VM       string `json:"vm"`
	Role     string `json:"role"`
	State    string `json:"state"`
	Endpoint string `json:"endpoint,omitempty"`
}

// List holds the newest VM list that was read. It is safe for concurrent use.
type List struct {
	url    string
	client *http.Client
	log    *event.Log
	state  atomic.Pointer[listState]
}

// listState is the content of one answer of the platform. It is immutable.
type listState struct {
	vms []VM
	// leaving holds the ids of the endpoints whose VMs are leaving.
	leaving map[string]bool
}

// NewList returns an empty list; Run polls the platform's list at url.
func NewList(url string, ne network.Network, lo *event.Log) *List {
	li := &List{url: url, client: ne.Client(1), log: lo}
	li.state.Store(&listState{})
	return li
}

// Close closes the idle pooled connections.
func (li *List) Close() { li.client.CloseIdleConnections() }

// Entries returns the VMs whose role is RoleEntry.
func (li *List) Entries() []VM {
	var out []VM
	for _, vm := range li.state.Load().vms {
		if vm.Role == RoleEntry {
			out = append(out, vm)
		}
	}
	return out
}

// EntryAddresses returns the addresses of the entry VMs' listeners for peers.
func (li *List) EntryAddresses() []string {
	var out []string
	for _, v := range li.Entries() {
		out = append(out, v.Address)
	}
	return out
}

// EndpointLeaving reports whether the VM of an endpoint is leaving.
func (li *List) EndpointLeaving(endpoint string) bool {
	return li.state.Load().leaving[endpoint]
}

// Run polls the platform until ctx ends. After a failed poll the last list stays in
// use; only the first of consecutive failures is logged.
func (li *List) Run(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		err := li.poll(ctx)
		if err != nil && !failed && ctx.Err() == nil {
			li.log.Warn(event.VMListUnreachable, err, nil)
		}
		failed = err != nil
		worker.Sleep(ctx, pollInterval)
	}
}

func (li *List) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, li.url, nil)
	if err != nil {
		return eris.Wrap(err, "List.poll")
	}
	rs, err := li.client.Do(rq)
	if err != nil {
		return eris.Wrap(err, "List.poll")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return eris.Errorf("List.poll: VM list answered with status %s, want 200 OK", rs.Status)
	}
	var grs []TargetGroup
	if err := json.NewDecoder(io.LimitReader(rs.Body, maxListBytes)).Decode(&grs); err != nil {
		return eris.Wrap(err, "List.poll: decoding the VM list")
	}
	li.state.Store(newListState(grs))
	return nil
}

func newListState(grs []TargetGroup) *listState {
	ls := &listState{leaving: map[string]bool{}}
	for _, gr := range grs {
		for _, ta := range gr.Targets {
			la := gr.Labels
			ls.vms = append(ls.vms, VM{ID: ID(la.VM), Role: Role(la.Role), State: State(la.State), Address: ta, Endpoint: la.Endpoint})
			if la.Endpoint != "" && State(la.State) == Leaving {
				ls.leaving[la.Endpoint] = true
			}
		}
	}
	return ls
}
