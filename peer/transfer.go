package peer

import (
	"io"
	"net/http"
	"path"
	"sync"
	"sync/atomic"
)

// largeMessage is the length in bytes from which a message with records counts as a transfer.
const largeMessage = 64 << 10

// isTransfer reports whether a message of a length in a call, its request or its answer, brings many records.
func isTransfer(rq *http.Request, length int64) bool {
	switch path.Base(rq.URL.Path) {
	case "FetchPolicy", "WatchPolicy", "OfferPolicy":
		return length >= largeMessage
	default:
		return false
	}
}

// transferBody is the body of a message that brings many records. It counts as a transfer until it is closed.
type transferBody struct {
	io.ReadCloser
	transfers *atomic.Int64
	once      sync.Once
}

// Close implements io.Closer.
func (tb *transferBody) Close() error {
	tb.once.Do(func() { tb.transfers.Add(-1) })
	return tb.ReadCloser.Close() //nolint:wrapcheck // the caller expects the error of the body
}
