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

// Ran tells the caller of a refused or failed request whether it was run.
type Ran string

// The values. NotRun is said only when no byte of the request can have reached
// an endpoint.
const (
	NotRun     Ran = "not_run"
	RanUnknown Ran = "unknown"
	HasRun     Ran = "ran"
)

const (
	keyOrganisation = "organisation"
	maxIDBytes      = 256
	// maxDrainedBytes of a body that is too large are read and dropped.
	maxDrainedBytes  = 1 << 20
	isolatedRetry    = 2 * time.Second
	overloadedRetry  = time.Second
	maxDeadline      = 24 * time.Hour
	codeInvalid      = "invalid_request"
	codeUnauthorised = "invalid_api_key"
)

// problem is an answer that is an error.
type problem struct {
	status  int
	code    string
	param   string
	message string
	ran     Ran
	retryAt time.Time
}

// errorBody is the OpenAI API's error shape.
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

// refuse answers at once with an error, and when to come back.
func refuse(co *gin.Context, pr problem) {
	body := pr.body()
	co.Header(HeaderRan, string(body.Error.Ran))
	if !pr.retryAt.IsZero() {
		seconds := math.Ceil(time.Until(pr.retryAt).Seconds())
		co.Header("Retry-After", strconv.Itoa(int(max(1, seconds))))
	}
	co.AbortWithStatusJSON(pr.status, body)
}

func invalid(param, message string) *problem {
	return &problem{status: http.StatusBadRequest, code: codeInvalid, param: param, message: message}
}

// limit bounds the requests in service and the time to read one.
func (da *Daemon) limit(co *gin.Context) {
	n := da.inFlight.Add(1)
	defer da.inFlight.Add(-1)
	if n > da.set.GetServing().GetMaxRequests() {
		refuse(co, problem{
			status: http.StatusServiceUnavailable, code: "too_many_requests_in_service",
			message: "this entry serves as many requests as it may", retryAt: time.Now().Add(overloadedRetry),
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

// authenticate finds the caller's organisation by its key.
func (da *Daemon) authenticate(co *gin.Context) {
	if pr := da.notAccepting(); pr != nil {
		refuse(co, *pr)
		return
	}
	key, ok := strings.CutPrefix(co.GetHeader("Authorization"), "Bearer ")
	if !ok {
		refuse(co, problem{status: http.StatusUnauthorized, code: codeUnauthorised, message: "a caller's key is required: Authorization: Bearer KEY"})
		return
	}
	or, ok := da.holder.Set().OrganisationByKey(key)
	if !ok {
		refuse(co, problem{status: http.StatusUnauthorized, code: codeUnauthorised, message: "the caller's key is not known"})
		return
	}
	if pr := da.orgs.enter(or, 1+len(da.peers.Entries())); pr != nil {
		refuse(co, *pr)
		return
	}
	defer da.orgs.leave(or.ID)
	co.Set(keyOrganisation, string(or.ID))
	co.Next()
}

// notAccepting tells why new requests are refused by this entry as a whole.
func (da *Daemon) notAccepting() *problem {
	if da.book.Full() {
		return unavailable("bills_full", "this entry cannot keep more bills")
	}
	return da.cannotSend()
}

// cannotSend tells why nothing may be sent by this entry as a whole, whether it
// was accepted before or not.
func (da *Daemon) cannotSend() *problem {
	if da.holder.Set().Revision == 0 {
		return unavailable("no_configuration", "this entry has no configuration yet")
	}
	if da.isIsolated() {
		return unavailable("isolated", "this entry is cut off and cannot know the newest configuration")
	}
	return nil
}

func unavailable(code, message string) *problem {
	return &problem{status: http.StatusServiceUnavailable, code: code, message: message, retryAt: time.Now().Add(isolatedRetry)}
}

// request is one caller's request.
type request struct {
	id           string
	billID       string
	organisation policy.OrganisationID
	rank         policy.Rank
	arrived      time.Time
	deadline     time.Time
	body         []byte
}

// readRequest reads what all requests have; defaultDeadline is used when the
// caller names none.
func (da *Daemon) readRequest(co *gin.Context, se *policy.Set, defaultDeadline func(ra policy.Rank, arrived time.Time) time.Time) (*request, *problem) {
	rq := &request{arrived: time.Now(), organisation: policy.OrganisationID(co.GetString(keyOrganisation)), billID: ulid.Make().String()}
	or, _ := se.Organisations.ByID(rq.organisation)
	var pr *problem
	if rq.id, pr = requestID(co); pr != nil {
		return nil, pr
	}
	var ok bool
	name := policy.RankID(co.GetHeader(HeaderRank))
	if rq.rank, ok = se.RankOrDefault(or, name); !ok {
		return nil, invalid(HeaderRank, "no rank "+strconv.Quote(string(name)))
	}
	if !or.AllowsRank(rq.rank.ID) {
		return nil, &problem{status: http.StatusForbidden, code: "rank_not_allowed", param: HeaderRank, message: "the organisation may not use rank " + strconv.Quote(string(rq.rank.ID))}
	}
	if rq.deadline, pr = deadlineOf(co, rq, defaultDeadline); pr != nil {
		return nil, pr
	}
	if rq.body, pr = da.readBody(co); pr != nil {
		return nil, pr
	}
	co.Header(HeaderRequestID, rq.id)
	return rq, nil
}

func requestID(co *gin.Context) (string, *problem) {
	id := co.GetHeader(HeaderRequestID)
	if id == "" {
		return ulid.Make().String(), nil
	}
	if len(id) > maxIDBytes {
		return "", invalid(HeaderRequestID, "longer than 256 bytes")
	}
	return id, nil
}

func deadlineOf(co *gin.Context, rq *request, byDefault func(ra policy.Rank, arrived time.Time) time.Time) (time.Time, *problem) {
	text := co.GetHeader(HeaderDeadline)
	if text == "" {
		return byDefault(rq.rank, rq.arrived), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, invalid(HeaderDeadline, "not a number of milliseconds from 1 to a day")
	}
	return rq.arrived.Add(time.Duration(ms) * time.Millisecond), nil
}

func (da *Daemon) readBody(co *gin.Context) ([]byte, *problem) {
	limit := da.set.GetServing().GetMaxBodyBytes()
	body, err := io.ReadAll(io.LimitReader(co.Request.Body, limit+1))
	switch {
	case err != nil:
		return nil, &problem{status: http.StatusRequestTimeout, code: "body_unreadable", message: "the body could not be read in time"}
	case int64(len(body)) > limit:
		// A caller that is still writing reads the answer only afterwards.
		_, _ = io.CopyN(io.Discard, co.Request.Body, maxDrainedBytes)
		return nil, &problem{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	_ = http.NewResponseController(co.Writer).SetReadDeadline(time.Time{})
	return body, nil
}

// admissionProblem gives the answer for a request that was not admitted.
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

// count records how a request ended.
func (da *Daemon) count(co *gin.Context, rq *request, outcome string) {
	da.metrics.Requests.Add(co, 1, metric.With(
		metric.KeyRank, string(rq.rank.ID), metric.KeyOrganisation, string(rq.organisation), metric.KeyOutcome, outcome))
	da.metrics.Latency.Record(co, time.Since(rq.arrived).Seconds(), metric.With(metric.KeyRank, string(rq.rank.ID)))
}
