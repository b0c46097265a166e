package main

import (
	"context"
	"fmt"
	"time"

	"tanagerpoint.example/tanager/standin"
)

const (
	// limitAfter is the time after the replica names its limit.
	limitAfter = 25 * time.Second
	// hugeLimit is the limit that the replica names: the largest 64-bit integer, which is no
	// limit at all. plainLimit is what it names without the disruption.
	hugeLimit  = "9223372036854775807"
	plainLimit = "1000"
)

func init() {
	scenarios["limit"] = scenario{options: siteOptions{routers: edgeMachines, config: endlessConfig}, play: playLimit}
}

// playLimit has one of three replicas name a limit in its answers.
func playLimit(ctx context.Context, si *site, trouble bool) (verdict, error) {
	desk, err := si.startDesk(standin.ReplicaOptions{Delay: 30 * time.Millisecond, Slots: 6, Queue: 24})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	before := si.traffic(ctx, deskRate, time.Now().Add(calmTime), orderRequest)
	named := plainLimit
	if trouble {
		named = hugeLimit
	}
	si.record.add("trouble", "i-desk-0 names Server-Limit: %s", named)
	desk[0].SetFaults(standin.ReplicaFaults{Limit: named})
	after := si.traffic(ctx, deskRate, time.Now().Add(limitAfter), orderRequest)
	si.recordRuns(desk)
	broken, text := si.judgeEnds()
	return verdict{broken: broken, text: fmt.Sprintf("%s; orders by status before %v, after %v", text, before, after)}, nil
}
