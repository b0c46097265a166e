package endpoint

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// carryWriteTimeout is the time limit for writing one piece of an answer to the peer that
	// asked for it.
	carryWriteTimeout = 10 * time.Second
	carryBufferSize   = 4096
)

// ReadCarry reads a peer's request to carry an attempt.
func ReadCarry(rq *http.Request) (*rpc.CarryRequest, error) {
	text, err := io.ReadAll(rq.Body)
	if err != nil {
		return nil, err
	}
	ms := &rpc.CarryRequest{}
	return ms, proto.Unmarshal(text, ms)
}

// CarriedCall returns the call that a peer asks for, of an endpoint's base URL. How long to
// wait for the endpoint is up to the peer, until the deadline.
func CarriedCall(ms *rpc.CarryRequest, url string, received time.Time) ForwardCall {
	left := quantity.Milliseconds(ms.GetDeadlineMs())
	return ForwardCall{
		URL: url, Method: ms.GetMethod(), Target: ms.GetTarget(), Host: ms.GetHost(), Header: headerOf(ms.GetHeader()),
		Body: ms.GetBody(), Repeatable: ms.GetRepeatable(), HeaderDeadline: received.Add(left), IdleTimeout: left,
	}
}

// WriteCarryFailure tells a peer why there is no answer.
func WriteCarryFailure(wr http.ResponseWriter, fa *Failure) {
	text := ""
	if fa.Err != nil {
		text = fa.Err.Error()
	}
	_ = writeCarryHead(wr, &rpc.CarryHead{Cause: string(fa.Cause), Error: text, Sent: fa.Sent})
}

// WriteCarried writes an answer to the peer that asked for it, as it arrives, and blocks until
// its end.
func WriteCarried(wr http.ResponseWriter, an *ForwardAnswer) {
	wr.Header().Set("Trailer", carryEnd)
	head := &rpc.CarryHead{Status: int32(an.Status), Header: fieldsOf(an.Header), Length: an.Length, EndsWithConnection: an.EndsWithConnection}
	if writeCarryHead(wr, head) != nil {
		return
	}
	rc, buf := http.NewResponseController(wr), make([]byte, carryBufferSize)
	for {
		n, err := an.Read(buf)
		if n > 0 && writePiece(wr, rc, buf[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			wr.Header().Set(carryEnd, carryComplete)
			return
		}
		if err != nil {
			wr.Header().Set(carryEnd, string(an.ReadFailure(err).Cause))
			return
		}
	}
}

func writeCarryHead(wr http.ResponseWriter, head *rpc.CarryHead) error {
	text, err := proto.Marshal(head)
	if err != nil {
		return err
	}
	wr.Header().Set("Content-Type", "application/octet-stream")
	out := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	return writePiece(wr, http.NewResponseController(wr), append(out, text...))
}

// writePiece writes a piece of an answer and flushes it.
func writePiece(wr http.ResponseWriter, rc *http.ResponseController, piece []byte) error {
	if err := rc.SetWriteDeadline(time.Now().Add(carryWriteTimeout)); err != nil {
		return err
	}
	if _, err := wr.Write(piece); err != nil {
		return err
	}
	return rc.Flush()
}
