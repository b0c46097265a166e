package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
)

// usage is the usage object of the OpenAI API.
type usage struct {
	PromptTokens     policy.Tokens `json:"prompt_tokens"`
	CompletionTokens policy.Tokens `json:"completion_tokens"`
	TotalTokens      policy.Tokens `json:"total_tokens"`
}

// usageBounds are those of the tokens of an answer: more than the context of any model.
var usageBounds = quantity.Bounds[policy.Tokens]{Min: 0, Max: 1 << 24}

// usageOf returns the usage that an endpoint reports.
func usageOf(object gjson.Result) *usage {
	tokens := func(name string) policy.Tokens { return usageBounds.Of(object.Get(name).Num) }
	return &usage{PromptTokens: tokens("prompt_tokens"), CompletionTokens: tokens("completion_tokens"), TotalTokens: tokens("total_tokens")}
}

// chunk is the chat.completion.chunk object of the OpenAI API.
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

// choice is one choice of a chat.completion.
type choice struct {
	Index        int       `json:"index"`
	Message      message   `json:"message"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *logprobs `json:"logprobs"`
}

// completion is the chat.completion object of the OpenAI API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// answerBuilder accumulates the chunks of an answer as they arrive.
type answerBuilder struct {
	// contentChunks counts the chunks with content. It stands in for the output
	// tokens when the endpoint reports no usage.
	contentChunks int
	usage         *usage
	firstChunk    chunk
	choices       []choice
}

// addChunk adds one chunk. It always records usage and counts content, and adds
// to the choices only when keepText is set.
func (an *answerBuilder) addChunk(data []byte, keepText bool) {
	if us := gjson.GetBytes(data, "usage"); us.IsObject() {
		an.usage = usageOf(us)
	}
	if gjson.GetBytes(data, "choices.0.delta.content").Str != "" {
		an.contentChunks++
	}
	if !keepText {
		return
	}
	var ch chunk
	if json.Unmarshal(data, &ch) != nil {
		return
	}
	if an.firstChunk.ID == "" {
		an.firstChunk = ch
	}
	for _, cc := range ch.Choices {
		an.choiceAt(cc.Index).merge(cc)
	}
}

// choiceAt returns the choice with an index, and adds it when it is new.
func (an *answerBuilder) choiceAt(index int) *choice {
	for i := range an.choices {
		if an.choices[i].Index == index {
			return &an.choices[i]
		}
	}
	an.choices = append(an.choices, choice{Index: index, Message: message{Role: "assistant"}})
	return &an.choices[len(an.choices)-1]
}

// merge appends a chunk's delta to the choice.
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

// maxToolCalls is the maximum number of tool calls in one choice. It is needed since
// the list is extended up to an index that the endpoint chooses.
const maxToolCalls = 256

// mergeTool appends a delta to the tool call with its index, or to a new one when
// it has no index. It ignores a negative index and one from maxToolCalls on.
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

// concat returns the concatenation of two optional strings, nil when both are.
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

// completion returns the accumulated answer as one chat.completion.
func (an *answerBuilder) completion() completion {
	return completion{
		ID: an.firstChunk.ID, Object: "chat.completion", Created: an.firstChunk.Created, Model: an.firstChunk.Model,
		Choices: an.choices, Usage: an.usage,
	}
}

// text returns the content of the first choice, "" when it has none.
func (an *answerBuilder) text() string {
	if len(an.choices) == 0 || an.choices[0].Message.Content == nil {
		return ""
	}
	return *an.choices[0].Message.Content
}

// answerWriter writes an answer to the caller.
type answerWriter interface {
	// writeChunk processes one chunk. An error means that the caller cannot be
	// reached any more.
	writeChunk(data []byte) error
	// complete writes the part of the answer that writeChunk has not written. It is
	// called after the last chunk of a complete answer.
	complete(an answerBuilder)
	// abort writes an error in place of the rest of an incomplete answer.
	abort(pr problem)
}

// bufferedWriter writes the whole answer as one JSON response.
type bufferedWriter struct {
	co *gin.Context
}

// writeChunk writes nothing, since complete writes the whole answer. It only checks
// that the caller is still connected.
func (bw *bufferedWriter) writeChunk([]byte) error { return bw.co.Request.Context().Err() }

func (bw *bufferedWriter) complete(an answerBuilder) {
	setWriteDeadline(bw.co)
	bw.co.JSON(http.StatusOK, an.completion())
}

func (bw *bufferedWriter) abort(pr problem) { abortWithProblem(bw.co, pr) }

// setWriteDeadline gives the caller callerWriteTimeout to read what is written
// next.
func setWriteDeadline(co *gin.Context) {
	_ = http.NewResponseController(co.Writer).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// streamWriter writes the answer as server-sent events.
type streamWriter struct {
	co           *gin.Context
	rc           *http.ResponseController
	includeUsage bool
	// finalChunk is the chunk with the finish reason. It is held back until the
	// usage has arrived and the bill has been recorded.
	finalChunk []byte
	// usageChunk is the chunk that has only the usage. It is held back too, and sent
	// only if the caller asked for it.
	usageChunk []byte
}

// newStreamWriter writes the response header and returns a writer for the events.
func newStreamWriter(co *gin.Context, includeUsage bool) *streamWriter {
	he := co.Writer.Header()
	he.Set("Content-Type", "text/event-stream")
	he.Set("Cache-Control", "no-cache")
	co.Writer.WriteHeader(http.StatusOK)
	return &streamWriter{co: co, rc: http.NewResponseController(co.Writer), includeUsage: includeUsage}
}

// writeChunk writes the chunk as an event, or holds it back for complete if it is
// the final or the usage chunk.
func (sw *streamWriter) writeChunk(data []byte) error {
	switch {
	case gjson.GetBytes(data, "choices.0.finish_reason").Str != "":
		sw.finalChunk = append([]byte(nil), data...)
		return nil
	case gjson.GetBytes(data, "usage").IsObject() && len(gjson.GetBytes(data, "choices").Array()) == 0:
		sw.usageChunk = append([]byte(nil), data...)
		return nil
	}
	return sw.writeEvent(data)
}

// writeEvent writes and flushes one event. It returns an error when the caller
// does not read it within callerWriteTimeout.
func (sw *streamWriter) writeEvent(data []byte) error {
	_ = sw.rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	if _, err := sw.co.Writer.Write(buf); err != nil {
		return err
	}
	return sw.rc.Flush()
}

// complete sends the final chunk with the usage added to it, the usage chunk if the
// caller asked for it, and the [DONE] event.
func (sw *streamWriter) complete(an answerBuilder) {
	if sw.finalChunk != nil {
		if us, err := json.Marshal(an.usage); err == nil && an.usage != nil {
			if text, err := sjson.SetRawBytes(sw.finalChunk, "usage", us); err == nil {
				sw.finalChunk = text
			}
		}
		_ = sw.writeEvent(sw.finalChunk)
	}
	if sw.includeUsage && sw.usageChunk != nil {
		_ = sw.writeEvent(sw.usageChunk)
	}
	_ = sw.writeEvent([]byte("[DONE]"))
}

// abort sends the problem as the last event. The stream then ends without the
// [DONE] event, so that the caller can tell that the answer is incomplete.
func (sw *streamWriter) abort(pr problem) {
	text, err := json.Marshal(pr.body())
	if err != nil {
		return
	}
	_ = sw.writeEvent(text)
}
