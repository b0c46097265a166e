package event

import (
	"context"
	"io"
	"sync/atomic"

	"tanagerpoint.example/tanager/worker"
)

// maxQueuedLines is the maximum number of lines that wait to be written.
const maxQueuedLines = 2048

// Queue is an io.Writer that never blocks. Lines wait in a bounded queue until a
// goroutine has written them; when the queue is full, lines are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	group   *worker.Group
}

// NewQueue returns a queue whose lines are written to wr, and starts its goroutine.
// Close stops it.
func NewQueue(wr io.Writer) *Queue {
	qu := &Queue{lines: make(chan []byte, maxQueuedLines), group: worker.NewGroup()}
	qu.group.Go(func(ctx context.Context) { qu.run(ctx, wr) })
	return qu
}

// Write implements io.Writer. Each call must pass a whole line. It never returns an
// error.
func (qu *Queue) Write(line []byte) (int, error) {
	select {
	case qu.lines <- append([]byte(nil), line...):
	default:
		qu.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full
// or because writing them failed.
func (qu *Queue) Dropped() int64 { return qu.dropped.Load() }

// Close writes the waiting lines and stops the queue's goroutine.
func (qu *Queue) Close() { qu.group.Close() }

func (qu *Queue) run(ctx context.Context, wr io.Writer) {
	for {
		select {
		case line := <-qu.lines:
			qu.write(wr, line)
		case <-ctx.Done():
			qu.flush(wr)
			return
		}
	}
}

func (qu *Queue) flush(wr io.Writer) {
	for {
		select {
		case line := <-qu.lines:
			qu.write(wr, line)
		default:
			return
		}
	}
}

func (qu *Queue) write(wr io.Writer, line []byte) {
	if _, err := wr.Write(line); err != nil {
		qu.dropped.Add(1)
	}
}
