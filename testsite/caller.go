package testsite

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/bill"
	"tanagerpoint.example/tanager/directory"
	"tanagerpoint.example/tanager/entry"
)

// Answer is the response that a caller received.
type Answer struct {
	// Err is set when no response arrived or its body could not be read to the end.
	Err    error
	Status int
	Header http.Header
	// Text is the generated text of a chat completion.
	Text string
	// Body is the whole body; for a stream, its lines.
	Body string
	// Complete reports whether the answer arrived to its end: a stream with its
	// [DONE] event, any other answer with status 200 and a body read to the end.
	Complete bool
	// Chunks is the number of chunks with text in a stream.
	Chunks int
}

// Ran returns the value of the X-Tanager-Ran header, by which an entry states
// whether the request was run.
func (an Answer) Ran() entry.Ran {
	return entry.Ran(an.Header.Get(entry.HeaderRan))
}

// Call describes a caller's request. The zero value asks entry-1 for an answer of
// model "m" that is not streamed, with the key CallerKey.
type Call struct {
	// Entry is the number of the entry: 2 for entry-2.
	Entry int
	Model string
	// Key is the caller's API key.
	Key string
	// Tokens is the value of max_tokens, 4 if it is 0, none if it is NoTokenLimit.
	Tokens int
	Prompt string
	Stream bool
	Header map[string]string
	// OnChunk is called after each event of a stream, except [DONE], with the number
	// of chunks with text so far.
	OnChunk func(n int)
	// Context, when set, can cancel the call.
	Context context.Context
}

// NoTokenLimit leaves max_tokens out of a call.
const NoTokenLimit = -1

// Chat requests a chat completion from an entry.
func (si *Site) Chat(ca Call) Answer {
	if ca.Model == "" {
		ca.Model = "m"
	}
	if ca.Tokens == 0 {
		ca.Tokens = 4
	}
	if ca.Prompt == "" {
		ca.Prompt = "summarise drawer 12"
	}
	limit := ""
	if ca.Tokens != NoTokenLimit {
		limit = fmt.Sprintf(`"max_tokens":%d,`, ca.Tokens)
	}
	body := fmt.Sprintf(`{"model":%q,%s"stream":%t,"messages":[{"role":"user","content":%q}]}`, ca.Model, limit, ca.Stream, ca.Prompt)
	return si.send(ca, http.MethodPost, "/v1/chat/completions", body)
}

// Checkout sends a call to the service "desk" through an entry, with the path
// /checkout. It sets the header Idempotency-Key in ca.Header, unless idempotencyKey
// is "".
func (si *Site) Checkout(ca Call, method, idempotencyKey, body string) Answer {
	if ca.Header == nil {
		ca.Header = map[string]string{}
	}
	if idempotencyKey != "" {
		ca.Header[entry.HeaderIdempotency] = idempotencyKey
	}
	return si.send(ca, method, "/v1/services/desk/checkout", body)
}

// Get sends a GET request for a path to an entry.
func (si *Site) Get(ca Call, path string) Answer { return si.send(ca, http.MethodGet, path, "") }

// send sends a request to an entry on a new connection, and reads the answer.
func (si *Site) send(ca Call, method, path, body string) Answer {
	if ca.Entry == 0 {
		ca.Entry = 1
	}
	if ca.Key == "" {
		ca.Key = CallerKey
	}
	if ca.Context == nil {
		ca.Context = context.Background()
	}
	rq, err := http.NewRequestWithContext(ca.Context, method, "http://"+EntryAddress(ca.Entry)+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	rq.Header.Set("Authorization", "Bearer "+ca.Key)
	for name, va := range ca.Header {
		rq.Header.Set(name, va)
	}
	rs, err := si.Net.ForHost(Caller).UnpooledClient().Do(rq)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = rs.Body.Close() }()
	an := Answer{Status: rs.StatusCode, Header: rs.Header}
	if strings.HasPrefix(rs.Header.Get("Content-Type"), "text/event-stream") {
		an.readStream(rs.Body, ca.OnChunk)
		return an
	}
	text, err := io.ReadAll(rs.Body)
	an.Body, an.Err = string(text), err
	an.Text = gjson.Get(an.Body, "choices.0.message.content").Str
	an.Complete = err == nil && rs.StatusCode == http.StatusOK
	return an
}

// readStream reads a stream of server-sent events to its end.
func (an *Answer) readStream(rd io.Reader, onChunk func(n int)) {
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		an.Body += sc.Text() + "\n"
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			an.Complete = true
			continue
		}
		if text := gjson.Get(data, "choices.0.delta.content").Str; text != "" {
			an.Text += text
			an.Chunks++
		}
		if onChunk != nil {
			onChunk(an.Chunks)
		}
	}
	an.Err = sc.Err()
}

// EngineText returns the text of a stand-in engine's answer of so many tokens.
func EngineText(version string, tokens int) string {
	var sb strings.Builder
	for n := range tokens {
		fmt.Fprintf(&sb, "%s-%d ", version, n)
	}
	return sb.String()
}

// Addresses returns the callers' addresses of the entries that entry-N lists under
// /v1/entries, or nil when it does not answer.
func (si *Site) Addresses(n int) []string {
	an := si.Get(Call{Entry: n}, "/v1/entries")
	var ads directory.Addresses
	if an.Err != nil || json.Unmarshal([]byte(an.Body), &ads) != nil {
		return nil
	}
	var out []string
	for _, ad := range ads.Entries {
		out = append(out, ad.Address)
	}
	return out
}

// Bills returns the bills in the sealed batches that are in the store.
func (si *Site) Bills() bill.Listing {
	cl := si.Client(Operator)
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	li, err := bill.List(ctx, cl, "tanager/")
	if err != nil {
		si.tb.Fatal(err)
	}
	return li
}

// State returns the state dump of entry-N, which must be running.
func (si *Site) State(n int) entry.State {
	return si.Entries[EntryName(n)].Dump().(entry.State)
}
