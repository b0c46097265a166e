package endpoint_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/network"
)

// readAnswer reads a complete streamed answer from a server that returns text. It
// returns the data of the events, each followed by "|".
func readAnswer(t testing.TB, text string, echoes bool) (string, error) {
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.Method != http.MethodPost {
			http.NotFound(wr, rq)
			return
		}
		_, _ = io.WriteString(wr, text)
	}))
	defer sv.Close()
	cl := endpoint.NewClient(network.Real(), time.Second)
	defer cl.Close()
	st, err := cl.Chat(t.Context(), endpoint.EngineCall{URL: sv.URL, Attempt: "a", Body: []byte("{}"), EchoesID: echoes})
	if err != nil {
		return "", err
	}
	defer st.Close()
	var sb strings.Builder
	for {
		ev, err := st.Next()
		if err != nil {
			return sb.String(), err
		}
		sb.Write(ev.Data)
		sb.WriteByte('|')
	}
}

func TestStreamParsing(t *testing.T) {
	for _, ca := range []struct {
		name, text, want string
		echoes, complete bool
	}{
		{"complete", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", "a|b|", false, true},
		{"carriage returns and comments", ": hello\r\nid: 0\r\ndata: a\r\n\r\ndata: [DONE]\r\n\r\n", "a|", false, true},
		{"repeated events are skipped", "id: 0\ndata: a\n\nid: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", "a|b|", false, true},
		{"ends early", "data: a\n\n", "a|", false, false},
		{"empty", "", "", false, false},
		{"chunk of another request", "data: {\"id\":\"chatcmpl-b\"}\n\ndata: [DONE]\n\n", "", true, false},
		{"chunk with the attempt's id", "data: {\"id\":\"chatcmpl-a\"}\n\ndata: [DONE]\n\n", "{\"id\":\"chatcmpl-a\"}|", true, true},
	} {
		got, err := readAnswer(t, ca.text, ca.echoes)
		qt.Assert(t, got, qt.Equals, ca.want, qt.Commentf("%s", ca.name))
		qt.Assert(t, errors.Is(err, io.EOF), qt.Equals, ca.complete, qt.Commentf("%s: %v", ca.name, err))
	}
}

// TestUnrepeatableCallIsNotRetriedByNetHTTP guards against a second run of a call
// that must run once. net/http repeats a request with an Idempotency-Key by itself
// if a pooled connection is closed before the answer.
func TestUnrepeatableCallIsNotRetriedByNetHTTP(t *testing.T) {
	var calls atomic.Int64
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		_, _ = io.Copy(io.Discard, rq.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(wr, "ok")
	}))
	defer sv.Close()
	cl := endpoint.NewClient(network.Real(), time.Second)
	defer cl.Close()
	call := endpoint.PlainCall{
		URL: sv.URL, Attempt: "a", Method: http.MethodPost, Path: "/", Body: []byte("x"), MaxBytes: 100,
		Header: http.Header{"Idempotency-Key": []string{"k"}}, FirstByteDeadline: time.Now().Add(time.Minute),
	}
	_, err := cl.CallPlain(t.Context(), call)
	qt.Assert(t, err, qt.IsNil)
	_, err = cl.CallPlain(t.Context(), call)
	var fa *endpoint.Failure
	qt.Assert(t, errors.As(err, &fa), qt.IsTrue)
	qt.Assert(t, fa.Sent, qt.IsTrue)
	qt.Assert(t, calls.Load(), qt.Equals, int64(2))
}

func TestUnreachableEndpointIsReportedAsNotSent(t *testing.T) {
	cl := endpoint.NewClient(network.Real(), time.Second)
	defer cl.Close()
	_, err := cl.Chat(t.Context(), endpoint.EngineCall{URL: "http://127.0.0.1:1", Attempt: "a", Body: []byte("{}")})
	var fa *endpoint.Failure
	qt.Assert(t, errors.As(err, &fa), qt.IsTrue)
	qt.Assert(t, fa.Sent, qt.IsFalse)
	qt.Assert(t, fa.Cause, qt.Equals, endpoint.CauseUnreachable)
}

// TestOddLoadsOfAnEndpointAreBounded has an endpoint report odd utilisations, from which entries choose.
func TestOddLoadsOfAnEndpointAreBounded(t *testing.T) {
	for text, want := range map[string]endpoint.Load{
		"TEXT application_utilization=0.5":       {Utilisation: 0.5, Known: true},  //nolint:misspell // as in the standard
		"TEXT application_utilization=1e308":     {Utilisation: 1000, Known: true}, //nolint:misspell // as in the standard
		"TEXT application_utilization=NaN":       {},                               //nolint:misspell // as in the standard
		"TEXT application_utilization=-Inf":      {},                               //nolint:misspell // as in the standard
		"TEXT application_utilization=-1":        {},                               //nolint:misspell // as in the standard
		`JSON {"application_utilization":1e400}`: {Utilisation: 1000, Known: true}, //nolint:misspell // as in the standard
		`JSON {"application_utilization":-7}`:    {Known: true},                    //nolint:misspell // as in the standard
		`JSON {"application_utilization":"NaN"}`: {Known: true},                    //nolint:misspell // as in the standard
	} {
		sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { wr.Header().Set(endpoint.HeaderLoad, text) }))
		cl := endpoint.NewClient(network.Real(), time.Second)
		an, err := cl.CallPlain(t.Context(), endpoint.PlainCall{URL: sv.URL, Attempt: "a", Method: http.MethodGet, Path: "/", MaxBytes: 100, Header: http.Header{}, FirstByteDeadline: time.Now().Add(time.Minute)})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, an.Load, qt.Equals, want, qt.Commentf("%s", text))
		cl.Close()
		sv.Close()
	}
}

// TestEventsWithOddNumbersAreRead has an engine number its events oddly. All that followed one of 2^63-1
// were taken for repeated ones, and left out.
func TestEventsWithOddNumbersAreRead(t *testing.T) {
	for _, id := range []string{"9223372036854775807", "9007199254740993", "9223372036854775808", "-9223372036854775808", "1e308", "NaN"} {
		text := "id: " + id + "\ndata: {\"id\":\"chatcmpl-a\",\"n\":1}\n\nid: 1\ndata: {\"id\":\"chatcmpl-a\",\"n\":2}\n\ndata: [DONE]\n\n"
		got, err := readAnswer(t, text, true)
		qt.Check(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%s: %v", id, err))
		qt.Check(t, strings.Count(got, "chatcmpl-a"), qt.Equals, 2, qt.Commentf("%s: %s", id, got))
	}
}

func FuzzStream(f *testing.F) {
	f.Add("id: 0\ndata: {\"id\":\"chatcmpl-a\"}\n\ndata: [DONE]\n\n")
	f.Add("data:\n\ndata: \n\nid: -5\nid: x\r\ndata: [DONE]")
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = readAnswer(t, text, true)
	})
}
