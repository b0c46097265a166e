package entry

import (
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/session"
)

// bytesPerToken is the assumed size of a token, used to estimate the number of
// tokens of a prompt from the size of the body.
const bytesPerToken = 4

// chatRequest is a chat completion request.
type chatRequest struct {
	*request
	// modelName is the caller's name of a cascade, a model or a version.
	modelName    string
	work         cascade.WorkKind
	stream       bool
	includeUsage bool
	// maxTokens is the caller's limit on output tokens, 0 when there is none.
	maxTokens int64
	// sessionToken is the signed token of an earlier answer, sessionID an ID that
	// the caller chose for its session. The token is used when both are set.
	sessionToken string
	sessionID    session.ID
	// strictSession asks for a refusal rather than another version when the
	// session's version may not run any more.
	strictSession bool
	// sent is set when a byte of the request may have reached an endpoint.
	sent bool
}

// handleChat serves POST /v1/chat/completions.
func (da *Daemon) handleChat(co *gin.Context) {
	rq, pr := da.readRequest(co, da.holder.Set(), policy.Rank.Deadline)
	if pr != nil {
		abortWithProblem(co, *pr)
		return
	}
	ch, pr := parseChat(co, rq)
	if pr != nil {
		da.recordRequest(co, rq, "invalid")
		abortWithProblem(co, *pr)
		return
	}
	da.budget.Received()
	da.serveChat(co, ch)
}

// parseChat reads and validates the chat-specific headers and fields of the body.
func parseChat(co *gin.Context, rq *request) (*chatRequest, *problem) {
	if !gjson.ValidBytes(rq.body) {
		return nil, invalidRequest("", "the body is not JSON")
	}
	body := gjson.ParseBytes(rq.body)
	ch := &chatRequest{
		request: rq, modelName: body.Get("model").Str,
		work:          cascade.WorkKind(co.GetHeader(HeaderWork)),
		stream:        body.Get("stream").Bool(),
		includeUsage:  body.Get("stream_options.include_usage").Bool(),
		sessionToken:  co.GetHeader(HeaderSession),
		sessionID:     session.ID(co.GetHeader(HeaderSessionID)),
		strictSession: co.GetHeader(HeaderSessionStrict) == "true",
	}
	switch {
	case ch.modelName == "":
		return nil, invalidRequest("model", "the model is missing")
	case !body.Get("messages").IsArray() || len(body.Get("messages").Array()) == 0:
		return nil, invalidRequest("messages", "the messages are missing")
	case len(ch.work) > maxIDBytes:
		return nil, invalidRequest(HeaderWork, "longer than 256 bytes")
	case len(ch.sessionID) > maxIDBytes:
		return nil, invalidRequest(HeaderSessionID, "longer than 256 bytes")
	}
	for _, path := range []string{"max_completion_tokens", "max_tokens"} {
		if va := body.Get(path); va.Exists() {
			if va.Type != gjson.Number || va.Num < 1 {
				return nil, invalidRequest(path, "not a positive whole number")
			}
			ch.maxTokens = int64(usageBounds.Of(va.Num))
		}
	}
	return ch, nil
}

// engineBody returns the body to send to an engine: the caller's body with the
// engine's name of the version and the rank's priority, and with streaming and
// usage always on.
func (ch *chatRequest) engineBody(ve policy.Version) ([]byte, error) {
	body := ch.body
	for _, fi := range []struct {
		path  string
		value any
	}{
		{"model", ve.EngineModel},
		{"stream", true},
		{"stream_options.include_usage", true},
		{"priority", ch.rank.EnginePriority},
	} {
		var err error
		if body, err = sjson.SetBytes(body, fi.path, fi.value); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// promptTokens estimates the tokens of the prompt from the size of the body.
func (ch *chatRequest) promptTokens() policy.Tokens {
	return policy.Tokens(len(ch.body) / bytesPerToken)
}

// prefix returns the hash by which requests that can share a cached prefix are sent
// to the same endpoints.
func (ch *chatRequest) prefix(ve policy.Version) placement.Prefix {
	return placement.HashPrefix(ch.organisation, ve.ID, []byte(gjson.GetBytes(ch.body, "messages").Raw))
}

// handleModels serves GET /v1/models. It lists the cascades, models and versions
// that the caller's organisation may use as a model name. A model is listed if the
// organisation may use its stable version.
func (da *Daemon) handleModels(co *gin.Context) {
	se := da.holder.Set()
	or, _ := se.Organisations.ByID(policy.OrganisationID(co.GetString(organisationContextKey)))
	list := modelList{Object: "list", Data: []modelItem{}}
	add := func(id string) {
		list.Data = append(list.Data, modelItem{ID: id, Object: "model", OwnedBy: "tanagerpoint"})
	}
	for _, ca := range se.Cascades.List() {
		if or.AllowsCascade(ca.ID) {
			add(string(ca.ID))
		}
	}
	for _, mo := range se.Models.List() {
		if ve, ok := se.Versions.ByID(policy.VersionID(mo.StableVersion)); ok && ve.Live() && or.AllowsVersion(ve) {
			add(string(mo.ID))
		}
	}
	for _, ve := range se.Versions.List() {
		if ve.Live() && or.AllowsVersion(ve) {
			add(string(ve.ID))
		}
	}
	co.JSON(http.StatusOK, list)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// unknownModel returns the problem for a model name that does not exist or that the
// organisation may not use. The caller is not told which.
func unknownModel(name string) *problem {
	return &problem{status: http.StatusNotFound, code: "model_not_found", param: "model", message: "no model " + strconv.Quote(name) + " that the organisation may use"}
}
