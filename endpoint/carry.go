package endpoint

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/rpc"
)

const (
	// maxCarryHeadBytes bounds a rpc.CarryHead.
	maxCarryHeadBytes = 2 * 64 << 10
	// carryEnd is the trailer of a carried answer: carryComplete, or the cause why it is not.
	carryEnd      = "Carry-End"
	carryComplete = "complete"
)

var (
	errHopBroken     = eris.New("the peer that carries the answer broke off")
	errCarriedBroken = eris.New("the answer broke off at the peer that carries it")
)

// Via is a peer that carries an attempt, from a VM that has no path to the endpoint.
type Via struct {
	// URL is that of the peer's handler, Authorization the header that it requires.
	URL           string
	Authorization string
	// Endpoint and StartedAtMs identify the endpoint's run.
	Endpoint    string
	StartedAtMs int64
	// Deadline is the request's.
	Deadline time.Time
	// Request is the request's ID.
	Request string
}

// forwardVia is Forward by way of a peer. The answer, and how it ends, are the endpoint's; a
// failure of the hop has Failure.Hop set.
func (cl *Client) forwardVia(ctx context.Context, ca ForwardCall) (*ForwardAnswer, error) {
	rq, err := ca.carryRequest()
	if err != nil {
		return nil, &Failure{Cause: CauseNotCarried, Hop: true, Err: err}
	}
	hc := cl.hopUnpooled
	if ca.Repeatable {
		hc = cl.hop
	}
	co := &connection{idleTimeout: ca.IdleTimeout, giveUp: ca.GiveUp}
	co, fa := cl.openConnection(ctx, co, hc, rq, time.Until(ca.HeaderDeadline))
	if fa != nil {
		fa.Hop = true
		if !fa.Sent {
			fa.Cause = CauseNotCarried
		}
		return nil, fa
	}
	head, fa := co.readCarryHead()
	if fa != nil {
		co.close()
		return nil, fa
	}
	co.timer.Reset(ca.IdleTimeout)
	body := &carriedBody{ReadCloser: co.response.Body, response: co.response}
	co.response.Body = body
	return &ForwardAnswer{
		Status: int(head.GetStatus()), Header: headerOf(head.GetHeader()), Length: head.GetLength(),
		EndsWithConnection: head.GetEndsWithConnection(), conn: co, carried: body,
	}, nil
}

// carryRequest returns the request to the peer.
func (ca ForwardCall) carryRequest() (*http.Request, error) {
	text, err := proto.Marshal(&rpc.CarryRequest{
		Request: ca.Via.Request, Endpoint: ca.Via.Endpoint, StartedAtMs: ca.Via.StartedAtMs, Method: ca.Method, Target: ca.Target, Host: ca.Host,
		Header: fieldsOf(ca.Header), Body: ca.Body, Repeatable: ca.Repeatable, DeadlineMs: time.Until(ca.Via.Deadline).Milliseconds(),
	})
	if err != nil {
		return nil, err
	}
	rq, err := http.NewRequest(http.MethodPost, ca.Via.URL, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	rq.GetBody = nil // prevents net/http from sending the request a second time
	rq.Header.Set("Authorization", ca.Via.Authorization)
	rq.Header.Set("User-Agent", "")
	return rq, nil
}

// readCarryHead reads the head of the endpoint's answer from the peer's. Without an answer it
// returns the failure.
func (co *connection) readCarryHead() (*rpc.CarryHead, *Failure) {
	if st := co.response.StatusCode; st != http.StatusOK {
		return nil, &Failure{Cause: CauseNotCarried, Hop: true, Err: eris.Errorf("peer answered %d", st)}
	}
	head, err := decodeCarryHead(co.response.Body)
	if err != nil {
		fa := co.readFailure(err)
		fa.Hop = true
		return nil, fa
	}
	if head.GetCause() == "" {
		return head, nil
	}
	cause := Cause(head.GetCause())
	return nil, &Failure{Cause: cause, Sent: head.GetSent(), Hop: cause == CauseNotCarried, Err: eris.Errorf("carried by a peer: %s", head.GetError())}
}

func decodeCarryHead(rd io.Reader) (*rpc.CarryHead, error) {
	var length uint32
	if err := binary.Read(rd, binary.BigEndian, &length); err != nil {
		return nil, err
	}
	if length > maxCarryHeadBytes {
		return nil, eris.Errorf("head of a carried answer has %d bytes", length)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(rd, text); err != nil {
		return nil, err
	}
	head := &rpc.CarryHead{}
	return head, proto.Unmarshal(text, head)
}

// carriedBody is the body of a carried answer. Only the trailer shows that it is complete.
type carriedBody struct {
	io.ReadCloser
	response *http.Response
	// hopFailed reports whether the hop broke off, cause why the answer did.
	hopFailed bool
	cause     Cause
}

// Read implements io.Reader.
func (cb *carriedBody) Read(buf []byte) (int, error) {
	n, err := cb.ReadCloser.Read(buf)
	if err == nil {
		return n, nil
	}
	end := cb.response.Trailer.Get(carryEnd)
	switch {
	case !errors.Is(err, io.EOF):
		cb.hopFailed = true
		return n, err
	case end == "":
		cb.hopFailed = true
		return n, errHopBroken
	case end != carryComplete:
		cb.cause = Cause(end)
		return n, errCarriedBroken
	}
	return n, io.EOF
}

// failure changes a failure of reading the answer to that of the endpoint or of the hop.
func (cb *carriedBody) failure(fa *Failure) *Failure {
	if cb.cause != "" {
		fa.Cause = cb.cause
	}
	fa.Hop = cb.hopFailed
	return fa
}

func fieldsOf(he http.Header) []*rpc.HeaderField {
	var out []*rpc.HeaderField
	for name, values := range he {
		for _, va := range values {
			out = append(out, &rpc.HeaderField{Name: name, Value: va})
		}
	}
	return out
}

func headerOf(fields []*rpc.HeaderField) http.Header {
	out := http.Header{}
	for _, hf := range fields {
		out[hf.GetName()] = append(out[hf.GetName()], hf.GetValue())
	}
	return out
}
