package entry

import (
	"time"

	"tanagerpoint.example/tanager/event"
)

// isIsolated decides whether this entry must refuse new work. It may take it
// while there is fresh evidence, its own or a peer's, that the configuration in
// force is the store's newest; or while it meets more than half of the entry
// VMs, since then a store that it cannot reach is down rather than cut off. It
// is asked at each send: a process that was paused learns here that what it
// knows is old.
func (da *Daemon) isIsolated() bool {
	limit := da.settings.GetServing().GetIsolatedAfter().AsDuration()
	fresh := time.Since(da.holder.Evidence()) < limit
	return !fresh && !da.peers.ReachesMostEntries(len(da.vms.Entries()))
}

// updateIsolation logs when isolation begins and ends.
func (da *Daemon) updateIsolation() {
	isolated := da.isIsolated()
	if da.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		da.log.Warn(event.Isolated, nil, event.Fields{"revision": da.holder.Set().Revision})
		return
	}
	da.log.Info(event.IsolationEnded, event.Fields{"revision": da.holder.Set().Revision})
}
