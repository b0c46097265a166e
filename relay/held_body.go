package relay

import (
	"errors"
	"io"
	"net/http"

	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/policy"
)

// maxBodyPart is the size of the largest part of a buffered body, in bytes.
const maxBodyPart = 64 << 10

// heldBody is the body of an answer that is buffered until it is whole. It has parts, so that it
// grows without a copy: many long answers that grow at once would otherwise take twice the memory
// that they hold.
type heldBody struct {
	parts [][]byte
	size  int
}

// readHeld reads a body to its end. It fails with errEndless if the body is too large, or holds
// memory that others need.
func readHeld(rd io.Reader, ho *limit.Hold[policy.EndpointID]) (heldBody, error) {
	var body heldBody
	for {
		part, ok := body.free(ho)
		if !ok {
			return heldBody{}, errEndless
		}
		n, err := rd.Read(part)
		body.add(n)
		switch {
		case body.size > maxBufferedBody || ho.Revoked():
			return heldBody{}, errEndless
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return heldBody{}, err
		}
	}
}

// free returns the room that is left in the last part, or that of a new part, which the hold has
// first. It reports false if the hold is revoked.
func (hb *heldBody) free(ho *limit.Hold[policy.EndpointID]) ([]byte, bool) {
	if n := len(hb.parts); n > 0 && len(hb.parts[n-1]) < cap(hb.parts[n-1]) {
		last := hb.parts[n-1]
		return last[len(last):cap(last)], true
	}
	size := min(maxBodyPart, max(readBufferSize, hb.size))
	if !ho.Grow(int64(hb.size + size)) {
		return nil, false
	}
	hb.parts = append(hb.parts, make([]byte, 0, size))
	return hb.parts[len(hb.parts)-1][:size], true
}

// add adds the bytes that were read into the last part.
func (hb *heldBody) add(n int) {
	last := &hb.parts[len(hb.parts)-1]
	*last = (*last)[:len(*last)+n]
	hb.size += n
}

// write writes the body to the caller, who may have left.
func (hb *heldBody) write(wr http.ResponseWriter) {
	for _, part := range hb.parts {
		if _, err := wr.Write(part); err != nil {
			return
		}
	}
}
