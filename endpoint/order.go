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

// SendOrder carries an order to its engine.
func (cl *Client) SendOrder(ctx context.Context, or Order) error {
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
	co, fa := cl.open(ctx, cl.unpooled, rq, cl.progress)
	if fa != nil {
		return eris.Wrap(fa, "Client.Send")
	}
	if co.response.StatusCode == http.StatusConflict {
		co.close()
		return eris.Wrap(ErrFenced, "Client.Send")
	}
	if co.response.StatusCode >= http.StatusBadRequest {
		return eris.Wrap(co.readRefusal(), "Client.Send")
	}
	co.close()
	return nil
}

// maxModelsBytes bounds an engine's list of models.
const maxModelsBytes = 1 << 20

// LoadedModels lists the models that an engine has, by the OpenAI API's model list.
func (cl *Client) LoadedModels(ctx context.Context, url string) ([]string, error) {
	rq, err := http.NewRequest(http.MethodGet, url+"/v1/models", nil)
	if err != nil {
		return nil, eris.Wrap(err, "Client.Loaded")
	}
	co, fa := cl.open(ctx, cl.unpooled, rq, cl.progress)
	if fa != nil {
		return nil, eris.Wrap(fa, "Client.Loaded")
	}
	if co.response.StatusCode != http.StatusOK {
		return nil, eris.Wrap(co.readRefusal(), "Client.Loaded")
	}
	defer co.close()
	text, err := io.ReadAll(io.LimitReader(co, maxModelsBytes))
	if err != nil {
		return nil, eris.Wrap(co.readFailure(err), "Client.Loaded")
	}
	var out []string
	for _, id := range gjson.GetBytes(text, "data.#.id").Array() {
		out = append(out, id.Str)
	}
	return out, nil
}
