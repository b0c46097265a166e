// Package rating reaches the rating service: answers go to it, their ratings
// come back late and not for all.
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
	callTimeout      = 2 * time.Second
	maxResponseBytes = 8 << 20
)

// Answer is an answer to be rated.
type Answer struct {
	RequestID string          `json:"request_id"`
	Cascade   string          `json:"cascade"`
	Work      string          `json:"work"`
	Version   string          `json:"version"`
	Messages  json.RawMessage `json:"messages"`
	Text      string          `json:"text"`
}

// Rating is one answer's rating. Quality is from 0 to 1.
type Rating struct {
	Sequence  int64   `json:"sequence"`
	RequestID string  `json:"request_id"`
	Cascade   string  `json:"cascade"`
	Work      string  `json:"work"`
	Version   string  `json:"version"`
	Quality   float64 `json:"quality"`
}

// Client reaches the rating service.
type Client struct {
	url    string
	client *http.Client
}

// NewClient gives a service at a base URL.
func NewClient(url string, ne network.Network) *Client {
	return &Client{url: url, client: ne.Client(2)}
}

// Close ends the pooled connections.
func (cl *Client) Close() { cl.client.CloseIdleConnections() }

// Submit hands an answer in to be rated.
func (cl *Client) Submit(ctx context.Context, an Answer) error {
	body, err := json.Marshal(an)
	if err != nil {
		return eris.Wrap(err, "Service.Submit")
	}
	_, err = cl.call(ctx, http.MethodPost, "/v1/answers", body)
	return eris.Wrap(err, "Service.Submit")
}

// RatingsAfter lists the ratings after a sequence number.
func (cl *Client) RatingsAfter(ctx context.Context, sequence int64) ([]Rating, error) {
	text, err := cl.call(ctx, http.MethodGet, "/v1/ratings?after="+strconv.FormatInt(sequence, 10), nil)
	if err != nil {
		return nil, eris.Wrap(err, "Service.After")
	}
	var ras []Rating
	return ras, eris.Wrap(json.Unmarshal(text, &ras), "Service.After")
}

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
		return nil, eris.Errorf("%s", rs.Status)
	}
	return io.ReadAll(io.LimitReader(rs.Body, maxResponseBytes))
}
