package peer

import (
	"iter"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// Reports returns the reports on a roll-out's candidate among the items whose keys have a prefix.
func (ta *Table) Reports(prefix, candidate string) iter.Seq2[Item, rollout.Report] {
	return func(yield func(Item, rollout.Report) bool) {
		for _, it := range ta.List(prefix) {
			var he rpc.VersionHealth
			if proto.Unmarshal(it.Value, &he) != nil || he.GetVersion() != candidate {
				continue
			}
			if !yield(it, rollout.ReportOf(&he)) {
				return
			}
		}
	}
}
