package entry

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/oklog/ulid/v2"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/policy"
)

// Headers of the callers' API. docs/API.md describes them.
const (
	HeaderRank          = "X-Tanager-Rank"
	HeaderDeadline      = "X-Tanager-Deadline-Ms"
	HeaderWork          = "X-Tanager-Work"
	HeaderSession       = "X-Tanager-Session"
	HeaderSessionID     = "X-Tanager-Session-Id"
	HeaderSessionMoved  = "X-Tanager-Session-Moved"
	HeaderSessionStrict = "X-Tanager-Session-Strict"
	HeaderVersion       = "X-Tanager-Version"
	HeaderEndpoint      = "X-Tanager-Endpoint"
	HeaderBill          = "X-Tanager-Bill"
	HeaderRan           = "X-Tanager-Ran"
	HeaderRequestID     = "X-Request-Id"
	HeaderFailureDomain = "X-Tanager-Failure-Domain"
	HeaderIdempotency   = "Idempotency-Key"
	HeaderReplayed      = "Idempotent-Replayed"
)

// Ran tells a caller whether an endpoint has run the request. It is sent in the
// X-Tanager-Ran header of answers and errors, and in the body of errors.
type Ran string

// The values of Ran. NotRun is used only when no byte of the request can have
// reached an endpoint.
const (
	NotRun     Ran = "not_run"
	RanUnknown Ran = "unknown"
	HasRun     Ran = "ran"
)

const (
	organisationContextKey = "organisation"
	maxIDBytes             = 256
	// maxDiscardedBytes is how much of a body is read and dropped beyond
	// max_body_bytes.
	maxDiscardedBytes = 1 << 20
	// unavailableRetryDelay is the delay after which a caller is told to retry if this
	// entry refuses every request or cannot claim a call. defaultRetryDelay is the
	// delay in all other cases that have no time of their own.
	unavailableRetryDelay = 2 * time.Second
	defaultRetryDelay     = time.Second
	maxDeadline           = 24 * time.Hour
	codeInvalid           = "invalid_request"
	codeUnauthorised      = "invalid_api_key"
)

// problem is an error response to a caller. An empty ran means NotRun; a zero
// retryAt means that the response does not say when to retry.
type problem struct {
	status  int
	code    string
	param   string
	message string
	ran     Ran
	retryAt time.Time
}

// Error implements error, so that a problem can be returned as one within the
// package.
func (pr *problem) Error() string { return pr.code + ": " + pr.message }

// errorBody is the error object of the OpenAI API, with the fields ran and
// retry_at added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	Ran     Ran    `json:"ran"`
	RetryAt string `json:"retry_at,omitempty"`
}

func (pr problem) body() errorBody {
	de := errorDetail{Message: pr.message, Type: errorType(pr.status), Param: pr.param, Code: pr.code, Ran: pr.ran}
	if de.Ran == "" {
		de.Ran = NotRun
	}
	if !pr.retryAt.IsZero() {
		de.RetryAt = pr.retryAt.UTC().Format(time.RFC3339Nano)
	}
	return errorBody{Error: de}
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// abortWithProblem writes the problem as the response, with a Retry-After header of
// at least 1 s when it has a retry time, and skips the remaining handlers.
func abortWithProblem(co *gin.Context, pr problem) {
	body := pr.body()
	co.Header(HeaderRan, string(body.Error.Ran))
	if !pr.retryAt.IsZero() {
		seconds := math.Ceil(time.Until(pr.retryAt).Seconds())
		co.Header("Retry-After", strconv.Itoa(int(max(1, seconds))))
	}
	co.AbortWithStatusJSON(pr.status, body)
}

func invalidRequest(param, message string) *problem {
	return &problem{status: http.StatusBadRequest, code: codeInvalid, param: param, message: message}
}

// limitRequests is middleware that bounds the number of requests in flight and the
// time to read a body. While the entry drains, it closes the connection after the
// response.
func (da *Daemon) limitRequests(co *gin.Context) {
	n := da.inFlight.Add(1)
	defer da.inFlight.Add(-1)
	if n > da.settings.GetServing().GetMaxRequests() {
		abortWithProblem(co, problem{
			status: http.StatusServiceUnavailable, code: "too_many_requests_in_service",
			message: "this entry serves as many requests as it may", retryAt: time.Now().Add(defaultRetryDelay),
		})
		return
	}
	rc := http.NewResponseController(co.Writer)
	_ = rc.SetReadDeadline(time.Now().Add(readBodyTimeout))
	if da.draining.Load() {
		co.Header("Connection", "close")
	}
	co.Next()
}

// authenticate is middleware that identifies the caller's organisation by its API
// key and applies the organisation's limit on requests in flight. It first refuses
// the request if this entry accepts none.
func (da *Daemon) authenticate(co *gin.Context) {
	if pr := da.acceptProblem(); pr != nil {
		abortWithProblem(co, *pr)
		return
	}
	key, ok := strings.CutPrefix(co.GetHeader("Authorization"), "Bearer ")
	if !ok {
		abortWithProblem(co, problem{status: http.StatusUnauthorized, code: codeUnauthorised, message: "a caller's key is required: Authorization: Bearer KEY"})
		return
	}
	or, ok := da.holder.Set().OrganisationByKey(key)
	if !ok {
		abortWithProblem(co, problem{status: http.StatusUnauthorized, code: codeUnauthorised, message: "the caller's key is not known"})
		return
	}
	if pr := da.orgLimits.acquire(or, 1+len(da.peers.Entries())); pr != nil {
		abortWithProblem(co, *pr)
		return
	}
	defer da.orgLimits.release(or.ID)
	co.Set(organisationContextKey, string(or.ID))
	co.Next()
}

// acceptProblem returns why this entry refuses every new request, nil when it
// accepts them.
func (da *Daemon) acceptProblem() *problem {
	if da.book.Full() {
		return unavailable("bills_full", "this entry cannot keep more bills")
	}
	return da.sendProblem()
}

// sendProblem returns why this entry may send nothing to endpoints, including
// requests that it has already accepted; nil when it may.
func (da *Daemon) sendProblem() *problem {
	if da.holder.Set().Revision == 0 {
		return unavailable("no_configuration", "this entry has no configuration yet")
	}
	if da.isIsolated() {
		return unavailable("isolated", "this entry is cut off and cannot know the newest configuration")
	}
	return nil
}

// unavailable returns the problem for a request that this entry refuses because of
// its own state.
func unavailable(code, message string) *problem {
	return &problem{status: http.StatusServiceUnavailable, code: code, message: message, retryAt: time.Now().Add(unavailableRetryDelay)}
}

// request is what chat requests and service calls have in common.
type request struct {
	id           string
	billID       string
	organisation policy.OrganisationID
	rank         policy.Rank
	arrived      time.Time
	deadline     time.Time
	body         []byte
}

// readRequest reads the parts that chat requests and service calls have in common.
// defaultDeadline returns the deadline of a request whose caller sets none.
func (da *Daemon) readRequest(co *gin.Context, se *policy.Set, defaultDeadline func(ra policy.Rank, arrived time.Time) time.Time) (*request, *problem) {
	rq := &request{arrived: time.Now(), organisation: policy.OrganisationID(co.GetString(organisationContextKey)), billID: ulid.Make().String()}
	or, _ := se.Organisations.ByID(rq.organisation)
	var pr *problem
	if rq.id, pr = requestID(co); pr != nil {
		return nil, pr
	}
	var ok bool
	name := policy.RankID(co.GetHeader(HeaderRank))
	if rq.rank, ok = se.RankOrDefault(or, name); !ok {
		return nil, invalidRequest(HeaderRank, "no rank "+strconv.Quote(string(name)))
	}
	if !or.AllowsRank(rq.rank.ID) {
		return nil, &problem{status: http.StatusForbidden, code: "rank_not_allowed", param: HeaderRank, message: "the organisation may not use rank " + strconv.Quote(string(rq.rank.ID))}
	}
	if rq.deadline, pr = requestDeadline(co, rq, defaultDeadline); pr != nil {
		return nil, pr
	}
	if rq.body, pr = da.readBody(co); pr != nil {
		return nil, pr
	}
	co.Header(HeaderRequestID, rq.id)
	return rq, nil
}

// requestID returns the caller's request ID, or a new one when it sent none.
func requestID(co *gin.Context) (string, *problem) {
	id := co.GetHeader(HeaderRequestID)
	if id == "" {
		return ulid.Make().String(), nil
	}
	if len(id) > maxIDBytes {
		return "", invalidRequest(HeaderRequestID, "longer than 256 bytes")
	}
	return id, nil
}

// requestDeadline returns the deadline in the request's header, which is in
// milliseconds from its arrival, or the default one.
func requestDeadline(co *gin.Context, rq *request, defaultDeadline func(ra policy.Rank, arrived time.Time) time.Time) (time.Time, *problem) {
	text := co.GetHeader(HeaderDeadline)
	if text == "" {
		return defaultDeadline(rq.rank, rq.arrived), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, invalidRequest(HeaderDeadline, "not a number of milliseconds from 1 to a day")
	}
	return rq.arrived.Add(time.Duration(ms) * time.Millisecond), nil
}

// readBody reads the body, up to the configured limit, and then clears the read
// deadline that limitRequests set.
func (da *Daemon) readBody(co *gin.Context) ([]byte, *problem) {
	limit := da.settings.GetServing().GetMaxBodyBytes()
	body, err := io.ReadAll(io.LimitReader(co.Request.Body, limit+1))
	switch {
	case err != nil:
		return nil, &problem{status: http.StatusRequestTimeout, code: "body_unreadable", message: "the body could not be read in time"}
	case int64(len(body)) > limit:
		// A caller that is still sending reads the response only afterwards.
		_, _ = io.CopyN(io.Discard, co.Request.Body, maxDiscardedBytes)
		return nil, &problem{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	_ = http.NewResponseController(co.Writer).SetReadDeadline(time.Time{})
	return body, nil
}

// admissionProblem returns the problem for an error of admission.Controller.Acquire.
// An error that is not an *admission.Refusal is that of the request's context; the
// caller is then taken to have gone.
func admissionProblem(err error) problem {
	var re *admission.Refusal
	if !errors.As(err, &re) {
		return problem{status: http.StatusServiceUnavailable, code: "cancelled", message: "the caller has gone"}
	}
	pr := problem{status: http.StatusTooManyRequests, code: string(re.Reason), retryAt: re.RetryAt}
	switch re.Reason {
	case admission.ReasonDeadlineUnreachable:
		pr.message = "the deadline cannot be met"
	case admission.ReasonQueueFull:
		pr.message = "the queue is full"
	case admission.ReasonNoCapacity:
		pr.status, pr.message = http.StatusServiceUnavailable, "no endpoint can take it now"
	case admission.ReasonUnknownRank:
		pr.status, pr.message = http.StatusServiceUnavailable, "the rank is not known to this pool yet"
	}
	return pr
}

// recordRequest adds a finished request to the metrics.
func (da *Daemon) recordRequest(co *gin.Context, rq *request, outcome string) {
	da.metrics.Requests.Add(co, 1, metric.With(
		metric.KeyRank, string(rq.rank.ID), metric.KeyOrganisation, string(rq.organisation), metric.KeyOutcome, outcome))
	da.metrics.Latency.Record(co, time.Since(rq.arrived).Seconds(), metric.With(metric.KeyRank, string(rq.rank.ID)))
}
