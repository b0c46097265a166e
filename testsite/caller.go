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

// Answer is what a caller got.
type Answer struct {
	// Err is set when the connection failed.
	Err    error
	Status int
	Header http.Header
	// Text is the content of the answer, Body all of it.
	Text string
	Body string
	// Whole tells that the answer came to its end.
	Whole  bool
	Chunks int
}

// Ran gives what the answer says of having been run.
func (an Answer) Ran() entry.Ran {
	return entry.Ran(an.Header.Get(entry.HeaderRan))
}

// Call is a caller's request; the zero value asks entry-1 for a whole answer
// of model "m".
type Call struct {
	Entry  int
	Model  string
	Key    string
	Tokens int
	Prompt string
	Stream bool
	Header map[string]string
	// OnChunk is called after each chunk of a stream.
	OnChunk func(n int)
	// Context may end the call early.
	Context context.Context
}

// Chat asks an entry for a chat completion.
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
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, ca.Model, ca.Tokens, ca.Stream, ca.Prompt)
	return si.send(ca, http.MethodPost, "/v1/chat/completions", body)
}

// Desk calls the plain service through an entry.
func (si *Site) Desk(ca Call, method, idempotencyKey, body string) Answer {
	if ca.Header == nil {
		ca.Header = map[string]string{}
	}
	if idempotencyKey != "" {
		ca.Header[entry.HeaderIdempotency] = idempotencyKey
	}
	return si.send(ca, method, "/v1/services/desk/checkout", body)
}

// Get reads a path of an entry.
func (si *Site) Get(ca Call, path string) Answer { return si.send(ca, http.MethodGet, path, "") }

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
	rs, err := si.Net.Of(Caller).UnpooledClient().Do(rq)
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
	an.Whole = err == nil && rs.StatusCode == http.StatusOK
	return an
}

func (an *Answer) readStream(rd io.Reader, onChunk func(n int)) {
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		an.Body += sc.Text() + "\n"
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			an.Whole = true
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

// WholeText gives the text that a stand-in engine answers with.
func WholeText(version string, tokens int) string {
	var sb strings.Builder
	for n := range tokens {
		fmt.Fprintf(&sb, "%s-%d ", version, n)
	}
	return sb.String()
}

// Addresses asks an entry which entries to use.
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

// Bills reads the sealed bills.
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

// State gives an entry's dump.
func (si *Site) State(n int) entry.State {
	return si.Entries[EntryName(n)].Dump().(entry.State)
}
