package standin

import (
	"net/http"
	"strconv"

	"tanagerpoint.example/tanager/endpoint"
)

// handleModels responds with the models that are loaded.
func (en *Engine) handleModels(wr http.ResponseWriter, _ *http.Request) {
	type item struct {
		ID string `json:"id"`
	}
	list := struct {
		Data []item `json:"data"`
	}{Data: []item{}}
	en.mu.Lock()
	for id, loaded := range en.loaded {
		if loaded {
			list.Data = append(list.Data, item{ID: id})
		}
	}
	en.mu.Unlock()
	writeJSON(wr, list)
}

// handleOrder returns the handler of orders to load or, if load is false, to unload
// a model.
func (en *Engine) handleOrder(load bool) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		var or struct {
			LoraName string `json:"lora_name"`
		}
		if !readJSON(wr, rq, &or) {
			return
		}
		token, _ := strconv.ParseInt(rq.Header.Get(endpoint.HeaderFencingToken), 10, 64)
		en.mu.Lock()
		defer en.mu.Unlock()
		if en.opt.ChecksFencing && token < en.maxFencingToken {
			http.Error(wr, "old fencing token", http.StatusConflict)
			return
		}
		en.maxFencingToken = max(en.maxFencingToken, token)
		en.loaded[or.LoraName] = load
		en.orders = append(en.orders, Order{Model: or.LoraName, Load: load, FencingToken: token})
	}
}
