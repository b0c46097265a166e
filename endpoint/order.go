package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
)

// HeaderFencingToken is the request header with an order's fencing token.
const HeaderFencingToken = "X-Fencing-Token"

// ErrFenced is the error of an order that the engine refused, with status 409,
// because its fencing token is out of date.
var ErrFenced = eris.New("endpoint: fencing token is out of date")

// Order is a request to an engine to load or unload the weights of a version.
type Order struct {
	// URL is the engine's base URL.
	URL string
	// Model is the name under which the engine serves the version.
	Model string
	// Weights is the key of the version's weights in the weight store.
	Weights string
	// Load is true to load, false to unload.
	Load bool
	// FencingToken is the sender's token. An engine that checks it refuses the order
	// if it has seen a greater one.
	FencingToken int64
}

// orderBody is the body of vLLM's requests to load or unload a LoRA adapter.
type orderBody struct {
	LoraName string `json:"lora_name"`
	LoraPath string `json:"lora_path,omitempty"`
}

// SendOrder sends an order to its engine. The error wraps ErrFenced if the engine
// refused the fencing token, or the *Failure of the call.
func (cl *Client) SendOrder(ctx context.Context, or Order) error {
	path := "/v1/unload_lora_adapter"
	if or.Load {
		path = "/v1/load_lora_adapter"
	}
	body, err := json.Marshal(orderBody{LoraName: or.Model, LoraPath: or.Weights})
	if err != nil {
		return eris.Wrap(err, "Client.SendOrder")
	}
	rq, err := http.NewRequest(http.MethodPost, or.URL+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "Client.SendOrder")
	}
	rq.GetBody = nil // prevents net/http from sending the order a second time
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set(HeaderFencingToken, strconv.FormatInt(or.FencingToken, 10))
	co, fa := cl.open(ctx, cl.unpooled, rq, cl.idleTimeout)
	if fa != nil {
		return eris.Wrap(fa, "Client.SendOrder")
	}
	if co.response.StatusCode == http.StatusConflict {
		co.close()
		return eris.Wrap(ErrFenced, "Client.SendOrder")
	}
	if co.response.StatusCode >= http.StatusBadRequest {
		return eris.Wrap(co.readRefusal(), "Client.SendOrder")
	}
	co.close()
	return nil
}

// maxModelsBytes is how much of an engine's list of models is read.
const maxModelsBytes = 1 << 20

// LoadedModels returns the names of the models that an engine has loaded, as listed
// by the models call of the OpenAI API. The error wraps the *Failure of the call.
func (cl *Client) LoadedModels(ctx context.Context, url string) ([]string, error) {
	rq, err := http.NewRequest(http.MethodGet, url+"/v1/models", nil)
	if err != nil {
		return nil, eris.Wrap(err, "Client.LoadedModels")
	}
	co, fa := cl.open(ctx, cl.unpooled, rq, cl.idleTimeout)
	if fa != nil {
		return nil, eris.Wrap(fa, "Client.LoadedModels")
	}
	if co.response.StatusCode != http.StatusOK {
		return nil, eris.Wrap(co.readRefusal(), "Client.LoadedModels")
	}
	defer co.close()
	text, err := io.ReadAll(io.LimitReader(co, maxModelsBytes))
	if err != nil {
		return nil, eris.Wrap(co.readFailure(err), "Client.LoadedModels")
	}
	var out []string
	for _, id := range gjson.GetBytes(text, "data.#.id").Array() {
		out = append(out, id.Str)
	}
	return out, nil
}
