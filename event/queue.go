package event

import (
	"context"
	"io"
	"sync/atomic"

	"tanagerpoint.example/tanager/worker"
)

// queuedLines bounds the lines that wait to be written.
const queuedLines = 2048

// Queue is a writer that never blocks: lines wait in a bounded queue, and are
// dropped and counted when it is full.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	group   *worker.Group
}

// NewQueue gives a queue before a writer. Close writes out what waits.
func NewQueue(wr io.Writer) *Queue {
	qu := &Queue{lines: make(chan []byte, queuedLines), group: worker.NewGroup()}
	qu.group.Go(func(ctx context.Context) { qu.run(ctx, wr) })
	return qu
}

// Write implements io.Writer for whole lines.
func (qu *Queue) Write(line []byte) (int, error) {
	select {
	case qu.lines <- append([]byte(nil), line...):
	default:
		qu.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that found no room.
func (qu *Queue) Dropped() int64 { return qu.dropped.Load() }

// Close writes out the lines that wait, and ends the queue.
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
