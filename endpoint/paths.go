package endpoint

import (
	"context"
	"slices"
	"sync"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/worker"
)

// Paths are this VM's paths to the endpoints of each service. It is safe for concurrent use.
//
// mu guards byService. The locks of paths are taken after it.
type Paths struct {
	network network.Network

	mu        sync.Mutex
	byService map[policy.ServiceID]*Path
	// watch starts to watch a path, nil before Run.
	watch func(id policy.ServiceID, pa *Path)
}

// NewPaths returns paths that are sound; Run watches them.
func NewPaths(ne network.Network) *Paths {
	return &Paths{network: ne, byService: map[policy.ServiceID]*Path{}}
}

// Of returns the path to the endpoints of a service.
func (ps *Paths) Of(id policy.ServiceID) *Path {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	pa, ok := ps.byService[id]
	if !ok {
		pa = NewPath(ps.network)
		ps.byService[id] = pa
		if ps.watch != nil {
			ps.watch(id, pa)
		}
	}
	return pa
}

// Alive reports whether the process at the address of one of a service's endpoints runs.
func (ps *Paths) Alive(ctx context.Context, id policy.ServiceID, address string) bool {
	return ps.Of(id).Alive(ctx, address)
}

// Settle reports whether the path to the endpoints of a service is lost. While that is in doubt, it blocks
// until it is known or ctx is done.
func (ps *Paths) Settle(ctx context.Context, id policy.ServiceID) bool { return ps.Of(id).Settle(ctx) }

// Lost reports whether the path to the endpoints of a service is lost.
func (ps *Paths) Lost(id policy.ServiceID) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	pa, ok := ps.byService[id]
	return ok && pa.Lost()
}

// LostServices returns the services to whose endpoints the path is lost, sorted.
func (ps *Paths) LostServices() []policy.ServiceID {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []policy.ServiceID
	for id, pa := range ps.byService {
		if pa.Lost() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Run watches the paths until ctx is done. addresses returns those of a service's endpoints.
// changed is called when the path to them is lost or back.
func (ps *Paths) Run(ctx context.Context, addresses func(policy.ServiceID) []string, changed func(id policy.ServiceID, lost bool)) {
	gr := worker.NewGroup()
	// Paths that are added after the end are never watched.
	defer ps.startWatch(func(_ policy.ServiceID, pa *Path) { pa.close() })
	defer gr.Close()
	ps.startWatch(func(id policy.ServiceID, pa *Path) {
		gr.Go(func(ctx context.Context) {
			pa.Run(ctx, func() []string { return addresses(id) }, func(lost bool) { changed(id, lost) })
		})
	})
	<-ctx.Done()
}

// startWatch watches the paths that exist, and those that are added later.
func (ps *Paths) startWatch(watch func(id policy.ServiceID, pa *Path)) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.watch = watch
	for id, pa := range ps.byService {
		watch(id, pa)
	}
}
