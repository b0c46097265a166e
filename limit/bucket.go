package limit

import (
	"time"

	"golang.org/x/time/rate"

	"tanagerpoint.example/tanager/quantity"
)

// Bucket lets requests pass at one router's share of a limit. It holds one request at
// most, so that many routers together send no bursts. It is not safe for concurrent use.
type Bucket struct {
	share   Rate
	limiter *rate.Limiter
}

// NewBucket returns an empty bucket without a share.
func NewBucket(now time.Time) *Bucket {
	li := rate.NewLimiter(0, 1)
	li.AllowN(now, 1)
	return &Bucket{limiter: li}
}

// SetShare replaces the share. What the bucket holds stays.
func (bu *Bucket) SetShare(now time.Time, share Rate) {
	if bu.share != share {
		bu.share = share
		bu.limiter.SetLimitAt(now, rate.Limit(share))
	}
}

// Ready reports whether a request may pass.
func (bu *Bucket) Ready(now time.Time) bool { return bu.share > 0 && bu.limiter.TokensAt(now) >= 1 }

// Take lets a request pass, or returns false.
func (bu *Bucket) Take(now time.Time) bool { return bu.share > 0 && bu.limiter.AllowN(now, 1) }

// NextAt returns when the next request may pass, and false if there is no share.
func (bu *Bucket) NextAt(now time.Time) (time.Time, bool) {
	if bu.share <= 0 {
		return time.Time{}, false
	}
	missing := max(0, 1-bu.limiter.TokensAt(now))
	return now.Add(quantity.Seconds(missing / float64(bu.share))), true
}
