package relay

import (
	"net/http"
	"time"

	"tanagerpoint.example/tanager/limit"
)

// noteLimit records the limit that the answer's head names. Only an answer of the service
// that went well shows that it names none.
func (an *answer) noteLimit() {
	now, limits, id := time.Now(), an.router.limits, an.endpoint.ID
	switch {
	case an.head.HasLimit:
		limits.Named(now, id, limit.Rate(an.head.Limit))
	case an.head.Signed && an.status < http.StatusMultipleChoices:
		limits.NotNamed(now, an.sentAt, id)
	}
}
