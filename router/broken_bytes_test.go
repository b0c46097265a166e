package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

// rawReplica is a replica that answers each request with the bytes that answer returns, and
// then closes the connection unless keep is set.
type rawReplica struct {
	answer func(rq *http.Request) string
	keep   bool
	runs   atomic.Int64
}

// startRaw replaces replica N of a service by a raw one.
func startRaw(t *testing.T, rs *testsite.RouterSite, service string, n int, rr *rawReplica) {
	t.Helper()
	ho := testsite.Host(testsite.ReplicaID(service, n, "v1"))
	rs.Net.Kill(ho)
	rs.Net.Revive(ho)
	li, err := rs.Net.ForHost(ho).Listen(testsite.ReplicaAddress(service, n, "v1"))
	qt.Assert(t, err, qt.IsNil)
	testsite.AcceptEach(t, li, rr.serve)
}

func (rr *rawReplica) serve(co net.Conn) {
	rd := bufio.NewReader(co)
	for {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		rr.runs.Add(1)
		if _, err := io.WriteString(co, rr.answer(rq)); err != nil || !rr.keep {
			return
		}
	}
}

// refusal is the head of an answer by which a replica says that it has not run a request.
func refusal(attempt string) string {
	text := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nNot-Executed: 1\r\n"
	if attempt != "" {
		text += "Attempt-Id: " + attempt + "\r\n"
	}
	return text + "\r\n"
}

// TestEarlierRefusalIsNoPromise has a replica that runs a request write an earlier request's
// refusal, once more, in place of its answer. The caller was told "not run, try again", or the
// request ran at a second replica.
func TestEarlierRefusalIsNoPromise(t *testing.T) {
	for name, attempt := range map[string]string{"of another request": "earlier", "without an id": ""} {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				rr := &rawReplica{keep: true, answer: func(*http.Request) string { return refusal(attempt) }}
				startRaw(t, rs, testsite.PlainService, 1, rr)
				startRaw(t, rs, testsite.PlainService, 2, rr)
				for n := range 8 {
					an := do(rs, request{id: fmt.Sprint("a", n), path: testsite.UnsafeRoute + "x", body: "loan"})
					qt.Assert(t, rr.runs.Load(), qt.Equals, int64(n+1))
					qt.Assert(t, an.status, qt.Equals, http.StatusBadGateway)
					time.Sleep(suspensionLimit)
				}
			})
		})
	}
}

// TestRefusalAfterAnAnswerBelongsToNoRequest has a replica write a refusal behind each of its
// whole answers on a kept connection.
func TestRefusalAfterAnAnswerBelongsToNoRequest(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rr := &rawReplica{keep: true, answer: func(rq *http.Request) string {
			body := "whole answer to " + rq.Header.Get("Attempt-Id")
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n\r\n%s%s",
				len(body), rq.Header.Get("Attempt-Id"), body, refusal("earlier"))
		}}
		startRaw(t, rs, testsite.PlainService, 1, rr)
		for n := range 6 {
			id := fmt.Sprint("a", n)
			path := map[int]string{0: testsite.UnsafeRoute, 1: testsite.SafeRoute}[n%2]
			an := do(rs, request{id: id, path: path + "x"})
			qt.Assert(t, an.status, qt.Equals, http.StatusOK)
			qt.Assert(t, an.body, qt.Equals, "whole answer to "+id)
		}
		qt.Assert(t, rr.runs.Load(), qt.Equals, int64(6))
	})
}

// TestErrorOfTheNextReplicaStaysOutOfAStream has a stream break off and the replica that it
// goes on at answer with an error. The caller must get whole events of the stream only, and
// must not take it for complete.
func TestErrorOfTheNextReplicaStaysOutOfAStream(t *testing.T) {
	const boom = "an error of the second replica"
	head := func(rq *http.Request, status, contentType string, length int) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n",
			status, rq.Header.Get("Attempt-Id"), contentType, length)
	}
	for name, answer := range map[string]func(rq *http.Request) string{
		"error": func(rq *http.Request) string { return head(rq, "500 Oops", "text/plain", len(boom)) + boom },
		"error as a stream": func(rq *http.Request) string {
			return head(rq, "500 Oops", "text/event-stream", len(boom)+2) + boom + "\n\n"
		},
		"success, but no stream": func(rq *http.Request) string { return head(rq, "200 OK", "text/plain", len(boom)) + boom },
		"event without an id": func(rq *http.Request) string {
			return head(rq, "200 OK", "text/event-stream", len(boom)+2) + boom + "\n\n"
		},
		"redirect": func(rq *http.Request) string { return head(rq, "302 Found", "text/plain", len(boom)) + boom },
		"head within a stream": func(rq *http.Request) string {
			return head(rq, "200 OK", "text/event-stream", 900) + head(rq, "500 "+boom, "text/plain", 0)
		},
		"refusal":   func(rq *http.Request) string { return refusal(rq.Header.Get("Attempt-Id")) },
		"no answer": func(*http.Request) string { return boom + "\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Engines: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				rr := &rawReplica{answer: func(rq *http.Request) string {
					if rq.Header.Get("Last-Event-Id") != "" {
						return answer(rq)
					}
					return head(rq, "200 OK", "text/event-stream", 900) + "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
				}}
				startRaw(t, rs, testsite.EngineService, 1, rr)
				startRaw(t, rs, testsite.EngineService, 2, rr)
				an := do(rs, request{id: "a", path: testsite.EngineRoute + "x"})
				qt.Assert(t, rr.runs.Load() > 1, qt.IsTrue)
				qt.Assert(t, an.status, qt.Equals, http.StatusOK)
				qt.Assert(t, an.body, qt.Equals, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
				qt.Assert(t, an.err, qt.IsNotNil, qt.Commentf("the stream looks complete"))
			})
		})
	}
}

// TestHeadCutShortIsNoAnswer has a replica stop after each byte of its answer's head and close
// the connection. Callers got a success with an empty or short body.
func TestHeadCutShortIsNoAnswer(t *testing.T) {
	for name, framing := range map[string]string{"with a length": "Content-Length: 5\r\n", "in chunks": "Transfer-Encoding: chunked\r\n", "up to the end": ""} {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Engines: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
				length := 0
				rr := &rawReplica{answer: func(rq *http.Request) string {
					text := "HTTP/1.1 200 OK\r\nAttempt-Id: " + rq.Header.Get("Attempt-Id") + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n"
					return text[:min(length, len(text)-1)]
				}}
				for _, service := range []string{testsite.PlainService, testsite.EngineService} {
					startRaw(t, rs, service, 1, rr)
				}
				for length = range 150 {
					for _, path := range []string{testsite.SafeRoute, testsite.UnsafeRoute, testsite.EngineRoute} {
						an := do(rs, request{id: fmt.Sprintf("%d%s", length, path[1:2]), path: path + "x"})
						qt.Assert(t, an.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("status %d with %q after %d bytes of the head", an.status, an.body, length))
					}
				}
				qt.Assert(t, rr.runs.Load() > 0, qt.IsTrue)
			})
		})
	}
}

// TestStatusThatIsNoneIsNoAnswer has replicas answer with a status that no final answer has, at a
// router with a path to them and at one whose requests a peer carries.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for name, framing := range map[string]string{"with a length": "Content-Length: 4\r\n\r\nboom", "in chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nboom\r\n0\r\n\r\n", "up to the end": "\r\nboom"} {
		t.Run(name, func(t *testing.T) {
			opt := testsite.RouterOptions{Routers: 2, Engines: 1, Plains: 1}
			withSite(t, opt, func(t *testing.T, rs *testsite.RouterSite) {
				status := ""
				rr := &rawReplica{answer: func(rq *http.Request) string {
					return "HTTP/1.1 " + status + " Trouble\r\nAttempt-Id: " + rq.Header.Get("Attempt-Id") + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n" + framing
				}}
				for _, service := range []string{testsite.PlainService, testsite.EngineService} {
					startRaw(t, rs, service, 1, rr)
				}
				losePath(rs, opt, pathFaults[1], []int{2})
				time.Sleep(pathLimit)
				for _, status = range []string{"000", "001", "099"} {
					for _, path := range []string{testsite.SafeRoute, testsite.UnsafeRoute, testsite.EngineRoute} {
						for router := 1; router <= 2; router++ {
							before := rr.runs.Load()
							an := do(rs, request{router: router, id: fmt.Sprint(status, path[1:2], router), path: path + "x", body: "loan"})
							qt.Check(t, an.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("router %d: status %d with %q to %s", router, an.status, an.body, status))
							qt.Check(t, rr.runs.Load() > before, qt.IsTrue)
							time.Sleep(suspensionLimit)
						}
					}
				}
			})
		})
	}
}
