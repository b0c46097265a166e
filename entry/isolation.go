package entry

import (
	"time"

	"tanagerpoint.example/tanager/event"
)

// noteIsolation decides whether this entry may take new work. It may while
// there is fresh evidence, its own or a peer's, that the configuration in force
// is the store's newest; or while it meets more than half of the entry VMs,
// since then a store that it cannot reach is down rather than cut off.
func (da *Daemon) noteIsolation() {
	limit := da.set.GetServing().GetIsolatedAfter().AsDuration()
	fresh := time.Since(da.holder.Evidence()) < limit
	isolated := !fresh && !da.peers.ReachesMostEntries(len(da.vms.Entries()))
	if da.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		da.log.Warn(event.Isolated, nil, event.Fields{"revision": da.holder.Set().Revision})
		return
	}
	da.log.Info(event.IsolationEnded, event.Fields{"revision": da.holder.Set().Revision})
}
