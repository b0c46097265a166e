package standin

import (
	"net/http"
	"sync"
	"time"

	"tanagerpoint.example/tanager/vm"
)

// VMListPath is the path of the VM list.
const VMListPath = "/vms"

// VMList simulates the platform's VM list. Changes become visible after a lag. Its
// methods may be called concurrently.
type VMList struct {
	FaultInjector

	mu  sync.Mutex
	lag time.Duration
	// pending lists the changes that are not visible yet, in the order of their
	// times; vms is the visible list.
	pending []vmChange
	vms     map[vm.ID]vm.VM
}

// vmChange adds, replaces or removes a VM at a time.
type vmChange struct {
	visibleAt time.Time
	vm        vm.VM
	removed   bool
}

// NewVMList returns an empty list whose changes become visible after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, vms: map[vm.ID]vm.VM{}}
}

// Put adds or replaces a VM, which becomes visible after the lag.
func (li *VMList) Put(v vm.VM) { li.addChange(vmChange{vm: v}) }

// Remove removes a VM, which stays visible until the lag has passed.
func (li *VMList) Remove(id vm.ID) { li.addChange(vmChange{vm: vm.VM{ID: id}, removed: true}) }

func (li *VMList) addChange(ch vmChange) {
	li.mu.Lock()
	defer li.mu.Unlock()
	ch.visibleAt = time.Now().Add(li.lag)
	li.pending = append(li.pending, ch)
}

// Handler returns the handler of the list.
func (li *VMList) Handler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("GET "+VMListPath, func(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, li.targetGroups()) })
	return li.Wrap(mu)
}

// targetGroups applies the changes that are due and returns the list, in the format of
// Prometheus HTTP service discovery.
func (li *VMList) targetGroups() []vm.TargetGroup {
	li.mu.Lock()
	defer li.mu.Unlock()
	for len(li.pending) > 0 && !time.Now().Before(li.pending[0].visibleAt) {
		ch := li.pending[0]
		li.pending = li.pending[1:]
		if ch.removed {
			delete(li.vms, ch.vm.ID)
			continue
		}
		li.vms[ch.vm.ID] = ch.vm
	}
	out := []vm.TargetGroup{}
	for _, v := range li.vms {
		la := vm.Labels{VM: string(v.ID), Role: string(v.Role), State: string(v.State), Endpoint: v.Endpoint}
		out = append(out, vm.TargetGroup{Targets: []string{v.Address}, Labels: la})
	}
	return out
}
