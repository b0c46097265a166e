package standin

import (
	"net/http"
	"sync"
	"time"

	"tanagerpoint.example/tanager/vm"
)

// VMListPath is where the VM list is read.
const VMListPath = "/vms"

// VMList stands in for the platform's VM list. Changes show after a lag.
type VMList struct {
	Switch

	mu      sync.Mutex
	lag     time.Duration
	pending []vmChange
	vms     map[vm.ID]vm.VM
}

type vmChange struct {
	showAt time.Time
	vm     vm.VM
	gone   bool
}

// NewVMList gives an empty list with a lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, vms: map[vm.ID]vm.VM{}}
}

// Put adds or changes a VM, to be seen after the lag.
func (li *VMList) Put(v vm.VM) { li.change(vmChange{vm: v}) }

// Remove takes a VM off the list, to be seen after the lag.
func (li *VMList) Remove(id vm.ID) { li.change(vmChange{vm: vm.VM{ID: id}, gone: true}) }

func (li *VMList) change(ch vmChange) {
	li.mu.Lock()
	defer li.mu.Unlock()
	ch.showAt = time.Now().Add(li.lag)
	li.pending = append(li.pending, ch)
}

// Handler serves the list.
func (li *VMList) Handler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("GET "+VMListPath, func(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, li.groups()) })
	return li.Wrap(mu)
}

func (li *VMList) groups() []vm.TargetGroup {
	li.mu.Lock()
	defer li.mu.Unlock()
	for len(li.pending) > 0 && !time.Now().Before(li.pending[0].showAt) {
		ch := li.pending[0]
		li.pending = li.pending[1:]
		if ch.gone {
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
