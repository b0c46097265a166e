package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/worker"
)

const (
	// badPart is the part of a prompt that crashes each replica that begins to write an answer on it.
	badPart = "91bd3f06"
	// Requests with the part come badInterval apart, the first one at badFirst, the last one before
	// badLast; sound ones come soundInterval apart on average. All times count from when the
	// routers are ready.
	badFirst      = 5 * time.Second
	badInterval   = 5500 * time.Millisecond
	badLast       = 34 * time.Second
	soundInterval = 40 * time.Millisecond
	// All routers are killed at killAt, and each starts again after downTime.
	killAt   = 12 * time.Second
	downTime = 500 * time.Millisecond
	playTime = 38 * time.Second
	// Later than contact after crash number knownCrashes, maxCrashing requests with the part may
	// reach replicas (rule BUDGET).
	knownCrashes = 5
	maxCrashing  = 3
)

const crashConfig = `{"version":7,"routes":[{"name":"r-2yhvz3p","host":"` + routeHost + `","prefix":"/scribes/","kind":"streaming","timeout_ms":25000,"target_latency_ms":6000,` +
	`"priority":2,"sizes":["small","large"],"service":"scribes","max_attempts":3,"public":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":800}],` +
	`"services":[{"name":"scribes","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_tokens":484470}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
	`"tenants":[{"name":"hule930","api_keys":["` + callerKey + `"],"priority":1}]}`

// playCrashingPart sends sound requests, and a few with a part that crashes replicas, while all
// routers are killed once and start again. It counts the requests with the part that reach replicas
// when the crashes are known and the routers are in touch.
func playCrashingPart(si *site, trouble bool) (bool, error) {
	si.store.Write("op/config", []byte(crashConfig))
	ens, err := si.startEngines(badPart)
	if err == nil {
		err = si.startRouters()
	}
	if err == nil {
		err = si.awaitReady()
	}
	if err != nil {
		return false, err
	}
	began := time.Now()
	gr := worker.NewGroup()
	gr.Go(func(ctx context.Context) { si.sendSound(ctx) })
	gr.Go(func(ctx context.Context) { si.sendBad(ctx, began) })
	inTouch := began
	if trouble {
		time.Sleep(time.Until(began.Add(killAt)))
		inTouch, err = si.killAll()
	}
	time.Sleep(time.Until(began.Add(playTime)))
	gr.Close()
	if err != nil {
		return false, err
	}
	return si.judgeCrashing(ens, inTouch)
}

// killAll kills all routers at once, starts them again, and returns from when on they are in touch.
func (si *site) killAll() (inTouch time.Time, err error) {
	for _, rp := range si.routers {
		rp.kill()
	}
	time.Sleep(downTime)
	if err := si.startRouters(); err != nil {
		return time.Time{}, err
	}
	started := time.Now()
	return started.Add(contact), si.awaitReady()
}

// sendBad sends the requests with the part that crashes replicas, no two alike, each once.
func (si *site) sendBad(ctx context.Context, began time.Time) {
	gr := worker.NewGroup()
	defer gr.Close()
	for at, n := badFirst, 1; at < badLast; at, n = at+badInterval, n+1 {
		if !worker.Sleep(ctx, time.Until(began.Add(at))) {
			return
		}
		id := fmt.Sprintf("bad%d", n)
		gr.Go(func(context.Context) {
			si.record.add("client sends %s, with the part that crashes replicas", id)
			si.record.add("client of %s gets: %s", id, si.stream(ctx, id, fmt.Sprintf("first%d:512,%s:300,%s:50", n%3, badPart, id)))
		})
	}
	<-ctx.Done()
}

// sendSound sends sound requests at random times.
func (si *site) sendSound(ctx context.Context) {
	gr := worker.NewGroup()
	defer gr.Close()
	for n := 1; worker.Sleep(ctx, time.Duration(rand.ExpFloat64()*float64(soundInterval))); n++ {
		id := fmt.Sprintf("sound%d", n)
		gr.Go(func(context.Context) {
			si.record.add("client sends %s", id)
			si.record.add("client of %s gets: %s", id, si.stream(ctx, id, fmt.Sprintf("first%d:512,subject%d:300,%s:50", n%3, rand.IntN(80), id)))
		})
	}
}

// judgeCrashing records what replicas have run, and checks the rule.
func (si *site) judgeCrashing(ens []*engine, inTouch time.Time) (broken bool, err error) {
	var crashes, arrivals []time.Time
	eachIncarnation(ens, func(re *standin.Replica) {
		crashes = append(crashes, re.Crashes()...)
		for _, ru := range re.Runs() {
			si.record.addAt(ru.At, "replica %s runs %s", ru.Header.Get("Expect-Instance"), ru.Request)
			if strings.HasPrefix(ru.Request, "bad") {
				arrivals = append(arrivals, ru.At)
			}
		}
	})
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < knownCrashes {
		return false, fmt.Errorf("%d crashes, want %d", len(crashes), knownCrashes)
	}
	fifth, from := crashes[knownCrashes-1], crashes[knownCrashes-1].Add(contact)
	if inTouch.After(from) {
		from = inTouch
	}
	late := 0
	for _, at := range arrivals {
		if at.After(from) {
			late++
		}
	}
	si.record.add("%d crashes, the fifth at %.3f s; routers are in touch from %.3f s on", len(crashes), si.record.seconds(fifth), si.record.seconds(inTouch))
	si.record.add("BUDGET: %d requests with the part reached replicas after %.3f s, %d are allowed", late, si.record.seconds(from), maxCrashing)
	return late > maxCrashing, nil
}
