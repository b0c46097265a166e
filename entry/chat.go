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

// bytesPerToken estimates a prompt's tokens.
const bytesPerToken = 4

// chat is a chat completion request.
type chat struct {
	*request
	name         string
	work         cascade.WorkKind
	stream       bool
	includeUsage bool
	maxTokens    int64
	sessionToken string
	sessionID    session.ID
	strict       bool
	// sent tells that a byte of the request may have reached an endpoint.
	sent bool
}

// handleChat serves POST /v1/chat/completions.
func (da *Daemon) handleChat(co *gin.Context) {
	rq, pr := da.readRequest(co, da.holder.Set(), policy.Rank.Deadline)
	if pr != nil {
		refuse(co, *pr)
		return
	}
	ch, pr := parseChat(co, rq)
	if pr != nil {
		da.count(co, rq, "invalid")
		refuse(co, *pr)
		return
	}
	da.budget.Received()
	da.serveChat(co, ch)
}

func parseChat(co *gin.Context, rq *request) (*chat, *problem) {
	if !gjson.ValidBytes(rq.body) {
		return nil, invalid("", "the body is not JSON")
	}
	body := gjson.ParseBytes(rq.body)
	ch := &chat{
		request: rq, name: body.Get("model").Str,
		work:         cascade.WorkKind(co.GetHeader(HeaderWork)),
		stream:       body.Get("stream").Bool(),
		includeUsage: body.Get("stream_options.include_usage").Bool(),
		sessionToken: co.GetHeader(HeaderSession),
		sessionID:    session.ID(co.GetHeader(HeaderSessionID)),
		strict:       co.GetHeader(HeaderSessionStrict) == "true",
	}
	switch {
	case ch.name == "":
		return nil, invalid("model", "the model is missing")
	case !body.Get("messages").IsArray() || len(body.Get("messages").Array()) == 0:
		return nil, invalid("messages", "the messages are missing")
	case len(ch.work) > maxIDBytes:
		return nil, invalid(HeaderWork, "longer than 256 bytes")
	case len(ch.sessionID) > maxIDBytes:
		return nil, invalid(HeaderSessionID, "longer than 256 bytes")
	}
	for _, path := range []string{"max_completion_tokens", "max_tokens"} {
		if va := body.Get(path); va.Exists() {
			if va.Type != gjson.Number || va.Int() < 1 {
				return nil, invalid(path, "not a positive whole number")
			}
			ch.maxTokens = va.Int()
		}
	}
	return ch, nil
}

// engineBody gives the body for an engine: the caller's, with the engine's
// name of the version, a priority, and always streamed with usage.
func (ch *chat) engineBody(ve policy.Version) ([]byte, error) {
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

func (ch *chat) promptTokens() policy.Tokens {
	return policy.Tokens(len(ch.body) / bytesPerToken)
}

func (ch *chat) prefix(ve policy.Version) placement.Prefix {
	return placement.HashPrefix(ch.organisation, ve.ID, []byte(gjson.GetBytes(ch.body, "messages").Raw))
}

// handleModels serves GET /v1/models: what the organisation may name.
func (da *Daemon) handleModels(co *gin.Context) {
	se := da.holder.Set()
	or, _ := se.Organisations.ByID(policy.OrganisationID(co.GetString(keyOrganisation)))
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

func unknownModel(name string) *problem {
	return &problem{status: http.StatusNotFound, code: "model_not_found", param: "model", message: "no model " + strconv.Quote(name) + " that the organisation may use"}
}
