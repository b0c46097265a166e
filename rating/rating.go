// Package rating is a client of the rating service. Answers are submitted to the
// service; their ratings can be read later. Not every answer gets a rating.
package rating

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/network"
)

const (
	callTimeout = 2 * time.Second
	// maxResponseBytes is how much of a response is read. The rest of a longer one is
	// dropped.
	maxResponseBytes = 8 << 20
)

// Answer is an answer submitted for rating.
type Answer struct {
	// RequestID identifies the answer in its Rating.
	RequestID string `json:"request_id"`
	// Cascade is empty if the request named no cascade.
	Cascade string `json:"cascade"`
	// Work is the kind of work that the caller named, empty if it named none.
	Work     string          `json:"work"`
	Version  string          `json:"version"`
	Messages json.RawMessage `json:"messages"`
	Text     string          `json:"text"`
}

// Rating is the rating of one answer. Sequence is its place in the order of the
// service's ratings. Quality is from 0 to 1.
type Rating struct {
	Sequence  int64   `json:"sequence"`
	RequestID string  `json:"request_id"`
	Cascade   string  `json:"cascade"`
	Work      string  `json:"work"`
	Version   string  `json:"version"`
	Quality   float64 `json:"quality"`
}

// Client calls the rating service. It is safe for concurrent use.
type Client struct {
	url    string
	client *http.Client
}

// NewClient returns a client of the service at a base URL. It keeps at most two idle
// connections.
func NewClient(url string, ne network.Network) *Client {
	return &Client{url: url, client: ne.Client(2)}
}

// Close closes the idle pooled connections.
func (cl *Client) Close() { cl.client.CloseIdleConnections() }

// Submit sends an answer to be rated.
func (cl *Client) Submit(ctx context.Context, an Answer) error {
	body, err := json.Marshal(an)
	if err != nil {
		return eris.Wrap(err, "Client.Submit")
	}
	_, err = cl.call(ctx, http.MethodPost, "/v1/answers", body)
	return eris.Wrap(err, "Client.Submit")
}

// RatingsAfter returns the ratings whose sequence number is greater than sequence.
func (cl *Client) RatingsAfter(ctx context.Context, sequence int64) ([]Rating, error) {
	text, err := cl.call(ctx, http.MethodGet, "/v1/ratings?after="+strconv.FormatInt(sequence, 10), nil)
	if err != nil {
		return nil, eris.Wrap(err, "Client.RatingsAfter")
	}
	var ras []Rating
	return ras, eris.Wrap(json.Unmarshal(text, &ras), "Client.RatingsAfter")
}

// call sends a request and returns the body of the response, within callTimeout. A
// status of 400 or above is an error.
func (cl *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, cl.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	rs, err := cl.client.Do(rq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode >= http.StatusBadRequest {
		return nil, eris.Errorf("rating service: got status %s, want one below 400", rs.Status)
	}
	return io.ReadAll(io.LimitReader(rs.Body, maxResponseBytes))
}
