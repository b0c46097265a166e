package steward

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
)

// trimInterval is the time between two records trimmed. Each costs a read.
const trimInterval = 2 * time.Second

// trimTask deletes the oldest states of records, one record after the other.
type trimTask struct {
	daemon *Daemon
	nextAt time.Time
	last   string
}

func newTrimTask(da *Daemon) *trimTask { return &trimTask{daemon: da} }

// look implements task.
func (tt *trimTask) look(ctx context.Context, _ lease.Hold) bool {
	if time.Now().Before(tt.nextAt) {
		return false
	}
	tt.nextAt = time.Now().Add(trimInterval)
	records := tt.daemon.holder.Set().Records()
	next := ""
	for _, re := range records {
		if re.Key() > tt.last {
			next = re.Key()
			break
		}
	}
	tt.last = next
	if next == "" {
		return false
	}
	if err := tt.daemon.writer.TrimHistory(ctx, next); err != nil {
		tt.daemon.log.Debug(event.StoreUnreachable, err, nil)
	}
	return false
}
