package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// HeaderFencingToken carries an order's fencing token.
const HeaderFencingToken = "X-Fencing-Token"

// ErrFenced marks an order refused for its old fencing token.
var ErrFenced = eris.New("endpoint: fencing token is out of date")

// Order asks an engine to load or unload a version.
type Order struct {
	URL          string
	Model        string
	Weights      string
	Load         bool
	FencingToken int64
}

// orderBody is the body of vLLM's adapter orders.
type orderBody struct {
	LoraName string `json:"lora_name"`
	LoraPath string `json:"lora_path,omitempty"`
}

// Send carries an order to its engine.
func (cl *Client) Send(ctx context.Context, or Order) error {
	path := "/v1/unload_lora_adapter"
	if or.Load {
		path = "/v1/load_lora_adapter"
	}
	body, err := json.Marshal(orderBody{LoraName: or.Model, LoraPath: or.Weights})
	if err != nil {
		return eris.Wrap(err, "Client.Send")
	}
	rq, err := http.NewRequest(http.MethodPost, or.URL+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "Client.Send")
	}
	rq.GetBody = nil
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set(HeaderFencingToken, strconv.FormatInt(or.FencingToken, 10))
	co, fa := cl.open(ctx, cl.fresh, rq, cl.progress)
	if fa != nil {
		return eris.Wrap(fa, "Client.Send")
	}
	if co.response.StatusCode == http.StatusConflict {
		co.close()
		return eris.Wrap(ErrFenced, "Client.Send")
	}
	if co.response.StatusCode >= http.StatusBadRequest {
		return eris.Wrap(co.refused(), "Client.Send")
	}
	co.close()
	return nil
}
