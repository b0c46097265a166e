package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const billEvent = event.BillsNotCopied

func billFields(bi *rpc.Bill) event.Fields {
	return event.Fields{"bill": bi.GetId(), "organisation": bi.GetOrganisation(), "cost": bi.GetCost()}
}

// usage is the OpenAI API's usage object.
type usage struct {
	PromptTokens     policy.Tokens `json:"prompt_tokens"`
	CompletionTokens policy.Tokens `json:"completion_tokens"`
	TotalTokens      policy.Tokens `json:"total_tokens"`
}

// chunk is the OpenAI API's chat.completion.chunk.
type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type chunkChoice struct {
	Index        int       `json:"index"`
	Delta        message   `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *logprobs `json:"logprobs"`
}

type message struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	Index    *int         `json:"index,omitempty"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
}

// choice is one choice of a whole answer.
type choice struct {
	Index        int       `json:"index"`
	Message      message   `json:"message"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *logprobs `json:"logprobs"`
}

// completion is the OpenAI API's chat.completion.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// answer is what has come of an answer so far.
type answer struct {
	chunks  int
	usage   *usage
	head    chunk
	choices []choice
}

// add takes in one chunk. Its text is only gathered when gather is set.
func (an *answer) add(data []byte, gather bool) {
	if us := gjson.GetBytes(data, "usage"); us.IsObject() {
		an.usage = &usage{}
		_ = json.Unmarshal([]byte(us.Raw), an.usage)
	}
	if gjson.GetBytes(data, "choices.0.delta.content").Str != "" {
		an.chunks++
	}
	if !gather {
		return
	}
	var ch chunk
	if json.Unmarshal(data, &ch) != nil {
		return
	}
	if an.head.ID == "" {
		an.head = ch
	}
	for _, cc := range ch.Choices {
		an.choice(cc.Index).merge(cc)
	}
}

func (an *answer) choice(index int) *choice {
	for i := range an.choices {
		if an.choices[i].Index == index {
			return &an.choices[i]
		}
	}
	an.choices = append(an.choices, choice{Index: index, Message: message{Role: "assistant"}})
	return &an.choices[len(an.choices)-1]
}

func (ch *choice) merge(cc chunkChoice) {
	ch.Message.Content = concat(ch.Message.Content, cc.Delta.Content)
	ch.Message.Refusal = concat(ch.Message.Refusal, cc.Delta.Refusal)
	for _, tc := range cc.Delta.ToolCalls {
		ch.mergeTool(tc)
	}
	if cc.FinishReason != nil {
		ch.FinishReason = cc.FinishReason
	}
	if cc.Logprobs != nil {
		if ch.Logprobs == nil {
			ch.Logprobs = &logprobs{}
		}
		ch.Logprobs.Content = append(ch.Logprobs.Content, cc.Logprobs.Content...)
	}
}

func (ch *choice) mergeTool(tc toolCall) {
	index := len(ch.Message.ToolCalls)
	if tc.Index != nil {
		index = *tc.Index
	}
	for len(ch.Message.ToolCalls) <= index && index < maxToolCalls {
		ch.Message.ToolCalls = append(ch.Message.ToolCalls, toolCall{Type: "function"})
	}
	if index < 0 || index >= len(ch.Message.ToolCalls) {
		return
	}
	have := &ch.Message.ToolCalls[index]
	have.ID += tc.ID
	have.Function.Name += tc.Function.Name
	have.Function.Arguments += tc.Function.Arguments
}

// maxToolCalls bounds the tool calls of one answer.
const maxToolCalls = 256

func concat(have, more *string) *string {
	if more == nil {
		return have
	}
	if have == nil {
		return more
	}
	both := *have + *more
	return &both
}

// completion gives the whole answer.
func (an *answer) completion() completion {
	return completion{
		ID: an.head.ID, Object: "chat.completion", Created: an.head.Created, Model: an.head.Model,
		Choices: an.choices, Usage: an.usage,
	}
}

// text gives the first choice's content.
func (an *answer) text() string {
	if len(an.choices) == 0 || an.choices[0].Message.Content == nil {
		return ""
	}
	return *an.choices[0].Message.Content
}

// caller is the receiving end of an answer.
type caller interface {
	// chunk passes on a chunk; an error means that the caller has gone.
	chunk(data []byte) error
	// end completes the answer.
	end(an answer)
	// cut ends an answer that cannot be completed.
	cut(pr problem)
}

// wholeCaller gets the answer in one piece.
type wholeCaller struct {
	co *gin.Context
}

func (wc *wholeCaller) chunk([]byte) error { return wc.co.Request.Context().Err() }

func (wc *wholeCaller) end(an answer) {
	limitWrite(wc.co)
	wc.co.JSON(http.StatusOK, an.completion())
}

// limitWrite bounds the time that the caller may take to read what is written
// next.
func limitWrite(co *gin.Context) {
	_ = http.NewResponseController(co.Writer).SetWriteDeadline(time.Now().Add(callerWriteLimit))
}

func (wc *wholeCaller) cut(pr problem) { refuse(wc.co, pr) }

// streamCaller gets the answer as server-sent events.
type streamCaller struct {
	co           *gin.Context
	rc           *http.ResponseController
	includeUsage bool
	// last is the chunk with the finish reason. It waits for the usage, and
	// for the bill, before it goes to the caller.
	last  []byte
	usage []byte
}

func newStreamCaller(co *gin.Context, includeUsage bool) *streamCaller {
	he := co.Writer.Header()
	he.Set("Content-Type", "text/event-stream")
	he.Set("Cache-Control", "no-cache")
	co.Writer.WriteHeader(http.StatusOK)
	return &streamCaller{co: co, rc: http.NewResponseController(co.Writer), includeUsage: includeUsage}
}

func (sc *streamCaller) chunk(data []byte) error {
	switch {
	case gjson.GetBytes(data, "choices.0.finish_reason").Str != "":
		sc.last = append([]byte(nil), data...)
		return nil
	case gjson.GetBytes(data, "usage").IsObject() && len(gjson.GetBytes(data, "choices").Array()) == 0:
		sc.usage = append([]byte(nil), data...)
		return nil
	}
	return sc.send(data)
}

// send writes one event. A caller that reads too slowly is given up.
func (sc *streamCaller) send(data []byte) error {
	_ = sc.rc.SetWriteDeadline(time.Now().Add(callerWriteLimit))
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	if _, err := sc.co.Writer.Write(buf); err != nil {
		return err
	}
	return sc.rc.Flush()
}

func (sc *streamCaller) end(an answer) {
	if sc.last != nil {
		if us, err := json.Marshal(an.usage); err == nil && an.usage != nil {
			if text, err := sjson.SetRawBytes(sc.last, "usage", us); err == nil {
				sc.last = text
			}
		}
		_ = sc.send(sc.last)
	}
	if sc.includeUsage && sc.usage != nil {
		_ = sc.send(sc.usage)
	}
	_ = sc.send([]byte("[DONE]"))
}

// cut tells the caller that the answer is not whole; the stream then ends
// without the event that completes one.
func (sc *streamCaller) cut(pr problem) {
	text, err := json.Marshal(pr.body())
	if err != nil {
		return
	}
	_ = sc.send(text)
}

// rated tells whether the answer's text goes to the rating service.
func (an *answering) rated() bool {
	return an.daemon.ratings != nil && an.chat.willRate(an)
}

// rate hands the answer to the rating service.
func (an *answering) rate() {
	if !an.rated() {
		return
	}
	an.daemon.ratings.submit(ratingAnswer(an))
}
