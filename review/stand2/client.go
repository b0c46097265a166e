package main

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	routeHost = "ficu95.example"
	callerKey = "n2ctnfzs989anu6wsjnb"
	// deadline is how long a client waits for an answer, and resolveTimeout how long for a router
	// that it asks for addresses, maxResolves of them.
	deadline       = 20 * time.Second
	resolveTimeout = time.Second
	maxResolves    = 3
)

// resolve asks routers for the addresses to use, and returns one of them at random, "" without any.
func (si *site) resolve(ctx context.Context) string {
	for _, n := range rand.Perm(len(si.routers))[:maxResolves] {
		if out := resolveAt(ctx, si.routers[n].directoryAt); len(out) > 0 {
			return out[rand.IntN(len(out))]
		}
	}
	return ""
}

func resolveAt(ctx context.Context, address string) []string {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/resolve?name="+routeHost+"&region=np-central&zone="+zoneOf(0), nil)
	if err != nil {
		return nil
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil
	}
	defer func() { _ = rs.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(rs.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addresses
}

// stream sends a request for a stream on a new connection, and returns how it was answered.
func (si *site) stream(ctx context.Context, id, prompt string) (answer string) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	address := si.resolve(ctx)
	if address == "" {
		return "no router told an address"
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/scribes/"+id, strings.NewReader("prompt of "+id))
	if err != nil {
		return err.Error()
	}
	rq.Host, rq.Close = routeHost, true
	for name, value := range map[string]string{
		"Attempt-Id": id, "Key": callerKey, "Deadline-Remaining": "20000", "Model": "*", "Prompt-Prefix": prompt, "Token-Usage": "862,100",
	} {
		rq.Header.Set(name, value)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.ReadAll(rs.Body)
	if err != nil {
		return rs.Status + ", cut"
	}
	return rs.Status
}
