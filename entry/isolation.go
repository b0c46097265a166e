package entry

import (
	"time"

	"tanagerpoint.example/tanager/event"
)

// isIsolated reports whether this entry must refuse new work because it may be cut
// off and its configuration outdated. It is not isolated in two cases: while there
// is evidence younger than isolated_after, its own or a peer's, that the
// configuration in force is the store's newest; and while it reaches more than half
// of the entry VMs, since a store that it cannot reach is then taken to be down. It
// is called before each send, so that a process that was paused does not act on an
// outdated configuration.
func (da *Daemon) isIsolated() bool {
	limit := da.settings.GetServing().GetIsolatedAfter().AsDuration()
	fresh := time.Since(da.holder.Evidence()) < limit
	return !fresh && !da.peers.ReachesMostEntries(len(da.vms.Entries()))
}

// updateIsolation sets da.isolated to the present state and logs when it changes.
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
