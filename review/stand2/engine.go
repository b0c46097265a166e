package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/worker"
)

const (
	engineCount = 9
	engineSlots = 16
	engineQueue = 32
	// An answer has answerEvents events, eventGap apart, firstDelay after its request.
	answerEvents = 20
	eventGap     = 40 * time.Millisecond
	firstDelay   = 100 * time.Millisecond
	// A crashed engine's registration lapses after three heartbeats of 1,200 ms, and the engine is
	// back, as a new incarnation, after awayTime.
	lapseTime = 3600 * time.Millisecond
	awayTime  = 4 * time.Second
)

// engine is a model replica that crashes and starts again, as a process does: its connections are
// closed, and it comes back as a new incarnation.
//
// mu guards server and incarnations.
type engine struct {
	site          *site
	number        int
	address, part string

	mu           sync.Mutex
	server       *http.Server
	incarnations []*standin.Replica
}

// startEngines starts the engines of the service, which a prompt part crashes.
func (si *site) startEngines(part string) ([]*engine, error) {
	var out []*engine
	for n := range engineCount {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		en := &engine{site: si, number: n, address: li.Addr().String(), part: part}
		en.start(li)
		out = append(out, en)
	}
	return out, nil
}

// start starts a new incarnation, and registers it.
func (en *engine) start(li net.Listener) {
	en.mu.Lock()
	defer en.mu.Unlock()
	id := fmt.Sprintf("i-%d-%d", en.number, len(en.incarnations))
	re := standin.NewReplica(standin.ReplicaOptions{
		ID: id, Events: answerEvents, Gap: eventGap, Delay: firstDelay, Slots: engineSlots, Queue: engineQueue,
		Confidence: map[string]string{"small": "95", "large": "95"},
		OnCrash:    func() { en.site.group.Go(func(ctx context.Context) { en.crash(ctx, id) }) },
	})
	re.SetFaults(standin.ReplicaFaults{CrashPart: en.part})
	en.incarnations = append(en.incarnations, re)
	en.server = serveOn(en.site.group, li, re.Handler())
	en.site.store.Write("servers/"+id, fmt.Appendf(nil, `{"service":"scribes","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,`+
		`"sequence":1,"born":%d,"stage":"both","models":[{"name":"small","version":1,"adapters":[]},{"name":"large","version":1,"adapters":[]}]}`,
		en.address, zoneOf(en.number), engineSlots, time.Now().UnixMilli()))
	en.site.record.add("replica %s: starts at %s", id, en.address)
}

// crash closes the listener and all connections, and starts a new incarnation later.
func (en *engine) crash(ctx context.Context, id string) {
	en.mu.Lock()
	_ = en.server.Close()
	en.mu.Unlock()
	en.site.record.add("replica %s: has crashed", id)
	worker.Sleep(ctx, lapseTime)
	en.site.store.Write("servers/"+id, nil)
	if !worker.Sleep(ctx, awayTime-lapseTime) {
		return
	}
	if li, err := net.Listen("tcp", en.address); err == nil {
		en.start(li)
	}
}

// eachIncarnation calls fn for each incarnation of each engine.
func eachIncarnation(ens []*engine, fn func(re *standin.Replica)) {
	for _, en := range ens {
		en.mu.Lock()
		for _, re := range en.incarnations {
			fn(re)
		}
		en.mu.Unlock()
	}
}
