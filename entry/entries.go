package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/directory"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

// handleEntries serves GET /v1/entries. The candidates are this entry, unless it is
// isolated, and its live peers; directory.Select chooses among them.
func (da *Daemon) handleEntries(co *gin.Context) {
	cas := []directory.Candidate{}
	if !da.isolated.Load() {
		self := da.peerOptions().Self
		cas = append(cas, directory.Candidate{
			VM: da.peers.VM(), Address: self.GetCallersAddress(), FailureDomain: da.peers.FailureDomain(),
			Draining: da.draining.Load(), InFlight: da.inFlight.Load(),
		})
	}
	for _, mb := range da.peers.Entries() {
		cas = append(cas, directory.Candidate{VM: mb.VM, Address: mb.CallersAddress, FailureDomain: mb.FailureDomain, Draining: mb.Draining, InFlight: mb.InFlight})
	}
	leaving := map[vm.ID]bool{}
	for _, v := range da.vms.Entries() {
		leaving[v.ID] = v.State == vm.Leaving
	}
	domain := policy.FailureDomain(co.GetHeader(HeaderFailureDomain))
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	keep := da.settings.GetServing().GetAddressKeep().AsDuration()
	co.JSON(http.StatusOK, directory.Addresses{
		Entries:   directory.Select(cas, func(id vm.ID) bool { return leaving[id] }, domain, rng),
		KeepUntil: time.Now().Add(keep).UTC(), KeepMS: keep.Milliseconds(),
	})
}
