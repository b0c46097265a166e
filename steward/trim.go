package steward

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
)

// trimInterval is the minimum time between the trims of two records. Each trim costs
// a read of the store.
const trimInterval = 2 * time.Second

// trimTask deletes the oldest states from the history of records, one record at a
// time in the order of their keys.
type trimTask struct {
	daemon *Daemon
	nextAt time.Time
	// lastKey is the key of the record trimmed last, "" at the start of a pass.
	lastKey string
}

func newTrimTask(da *Daemon) *trimTask { return &trimTask{daemon: da} }

// run implements task. The task is never done. Trims are not conditional on the
// fencing token: they delete only states beyond the limit of a history, whichever
// steward makes them.
func (tt *trimTask) run(ctx context.Context, _ lease.Hold) bool {
	if time.Now().Before(tt.nextAt) {
		return false
	}
	tt.nextAt = time.Now().Add(trimInterval)
	records := tt.daemon.holder.Set().Records()
	next := ""
	for _, re := range records {
		if re.Key() > tt.lastKey {
			next = re.Key()
			break
		}
	}
	tt.lastKey = next
	if next == "" {
		return false
	}
	if err := tt.daemon.writer.TrimHistory(ctx, next); err != nil {
		tt.daemon.log.Debug(event.StoreUnreachable, err, nil)
	}
	return false
}
