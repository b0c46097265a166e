package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/standin"
)

const (
	// deskReplicas is the number of replicas of chest-desk on the sheet of bagmati-drawers.
	deskReplicas = 3
	// applyTime is config_apply_ms, with a second to spare.
	applyTime = 3 * time.Second
	// askedRequests is how many requests site.ask sends.
	askedRequests = 40
	// settleTime is the time until routers know the replicas that have registered.
	settleTime = 2 * time.Second
	// maxEnds is how often processes may end by themselves on a machine, and minMachines the
	// number of machines on which they must for the rule Fault to be broken.
	maxEnds     = 3
	minMachines = 2
)

// startDesk starts the replicas of chest-desk and registers them.
func (si *site) startDesk(opt standin.ReplicaOptions) ([]*standin.Replica, error) {
	var out []*standin.Replica
	for n := range deskReplicas {
		opt.ID = fmt.Sprintf("i-desk-%d", n)
		re := standin.NewReplica(opt)
		address, err := si.serve(re.Handler())
		if err != nil {
			return nil, err
		}
		si.register("chest-desk", opt.ID, address, zoneOf(n), 6, "")
		out = append(out, re)
	}
	return out, nil
}

// recordRuns records what replicas ran.
func (si *site) recordRuns(res []*standin.Replica) {
	for n, re := range res {
		for _, ru := range re.Runs() {
			si.record.add("ran", "%s %s at i-desk-%d", ru.Request, ru.Target, n)
		}
	}
}

// judgeEnds reports whether processes ended by themselves three times or more on two machines or
// more.
func (si *site) judgeEnds() (broken bool, text string) {
	ends, machines, often, most := 0, 0, 0, int64(0)
	for _, ro := range si.routers {
		n, peak := ro.state()
		ends += n
		most = max(most, peak)
		if n > 0 {
			machines++
		}
		if n >= maxEnds {
			often++
		}
	}
	return often >= minMachines, fmt.Sprintf("processes ended by themselves %d times on %d machines, on %d of these %d times or more; the largest memory was %d MiB",
		ends, machines, often, maxEnds, most/mebibyte)
}

// ask sends requests with a key, one after the other, to all routers in turn, and counts the
// answers by status.
func (si *site) ask(ctx context.Context, key, prefix string) counts {
	out := counts{}
	for n := range askedRequests {
		ro, id := si.routers[n%len(si.routers)], newID()
		si.record.add("sent", "%s GET %s%s with key %s to %s", id, prefix, id, key, ro.name)
		re := do(ctx, ro.callers, request{id: id, method: http.MethodGet, target: prefix + id, deadline: 1500 * time.Millisecond, header: map[string]string{"Key": key}})
		si.record.add("answered", "%s %d, error %v", id, re.status, re.err)
		out.add(re)
	}
	return out
}
