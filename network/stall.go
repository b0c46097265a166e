package network

import (
	"context"
	"io"
	"time"
)

const (
	// stallTime is how long a call may wait for more of an answer that has begun, and maxAnswerTime for
	// all of it.
	stallTime     = time.Second
	maxAnswerTime = 10 * time.Second
)

// stallKey is the key of the timer of a context of WithStallLimit.
type stallKey struct{}

// WithStallLimit returns a context for a call whose answer may be large. It is done when the answer has not
// begun after the time first, or nothing more of it arrives for a while. The answer's body must be read by
// way of StallLimited.
func WithStallLimit(ctx context.Context, first time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(ctx, maxAnswerTime)
	ctx, cancel := context.WithCancelCause(ctx)
	tm := time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, stallKey{}, tm), func() {
		tm.Stop()
		cancel(nil)
		stop()
	}
}

// StallLimited returns the body of an answer to a call under a context of WithStallLimit. Each byte that
// arrives puts the end of the call off. Under another context it returns the body as it is.
func StallLimited(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	tm, ok := ctx.Value(stallKey{}).(*time.Timer)
	if !ok {
		return body
	}
	tm.Reset(stallTime)
	return &stallBody{ReadCloser: body, timer: tm}
}

// stallBody is a body that is read under a context of WithStallLimit.
type stallBody struct {
	io.ReadCloser
	timer *time.Timer
}

// Read implements io.Reader.
func (sb *stallBody) Read(buf []byte) (int, error) {
	n, err := sb.ReadCloser.Read(buf)
	if n > 0 {
		sb.timer.Reset(stallTime)
	}
	return n, err //nolint:wrapcheck // the caller expects the errors of the body
}
