package quarantine

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/worker"
)

const (
	// holdersPerPart is the number of routers that count the crashes of a part. Each
	// counts all of them, so that some have most when routers come and go.
	holdersPerPart = 5
	// reportDelay is how long a report waits for others: a crash breaks several answers.
	reportDelay = 20 * time.Millisecond
	// reportTimeout is the time limit of a call to a holder.
	reportTimeout = 500 * time.Millisecond
	// recordInterval is the time between attempts to record or remove quarantines, and
	// recordTimeout the time limit of one.
	recordInterval = 250 * time.Millisecond
	recordTimeout  = time.Second
	// preferredRecorders is how many routers record at once a quarantine that a restored
	// store has lost. recordAgainDelay is when the others do, and when all try again.
	preferredRecorders = 2
	recordAgainDelay   = 2 * time.Second
)

// Run reports crashes to the holders of their parts, records quarantines, and ends those
// of parts that this router knows to be harmless, until ctx is done.
func (li *List) Run(ctx context.Context) {
	gr := worker.NewGroup()
	defer gr.Close()
	gr.Every(recordInterval, func(context.Context) { li.record(ctx) })
	for ctx.Err() == nil {
		select {
		case cr := <-li.reports:
			worker.Sleep(ctx, reportDelay)
			li.report(ctx, li.collect(cr))
		case <-ctx.Done():
		}
	}
}

// collect returns a crash and those that wait behind it.
func (li *List) collect(first Crash) []Crash {
	out := []Crash{first}
	for {
		select {
		case cr := <-li.reports:
			out = append(out, cr)
		default:
			return out
		}
	}
}

// report sends crashes to the holders of their parts, all at once.
func (li *List) report(ctx context.Context, crs []Crash) {
	daemons, byHolder := li.group.Holders(), map[peer.Holder]*rpc.ReportCrashesRequest{}
	for _, cr := range crs {
		for _, ho := range peer.SelectHolders(daemons, string(cr.Part), holdersPerPart) {
			if byHolder[ho] == nil {
				byHolder[ho] = &rpc.ReportCrashesRequest{}
			}
			byHolder[ho].Crashes = append(byHolder[ho].Crashes, &rpc.Crash{
				Part: string(cr.Part), Endpoint: string(cr.Endpoint), Request: string(cr.Request), OthersWentWell: cr.Contrast,
			})
		}
	}
	gr := worker.NewGroup()
	for ho, rq := range byHolder {
		gr.Go(func(context.Context) { li.reportTo(ctx, ho, rq) })
	}
	gr.Wait()
}

// reportTo sends crashes to one holder, and refuses the parts that it has quarantined.
func (li *List) reportTo(ctx context.Context, ho peer.Holder, rq *rpc.ReportCrashesRequest) {
	if ho.Address == "" {
		_, _ = li.ReportCrashes(ctx, rq) // never fails
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rs, err := li.group.Peer(ho.Address).ReportCrashes(ctx, rq)
	if err != nil {
		li.log.WarnLimited(event.CrashNotReported, err, event.Fields{"holder": ho.VM, "crashes": len(rq.GetCrashes())})
		return
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	for _, text := range rs.GetQuarantined() {
		part := policy.PromptPartID(text)
		if _, ok := li.refused[part]; !ok {
			li.refused[part] = refusal{until: time.Now().Add(reportedTTL)}
		}
	}
}

// record records the quarantines that are pending, forgets refusals that the policy
// replaces, and ends the quarantines of parts that are proven.
func (li *List) record(ctx context.Context) {
	now, se := time.Now(), li.holder.Set()
	for part, qu := range li.updateRefused(now, se) {
		if err := li.call(ctx, func(ctx context.Context) error { return li.recorder.Record(ctx, qu) }); err != nil {
			li.log.WarnLimited(event.StoreUnreachable, err, event.Fields{"part": part})
			continue
		}
		li.setRecorded(part)
	}
	for _, qu := range se.Quarantines.List() {
		part := policy.PromptPartID(qu.Part)
		if se.Retains(policy.KindQuarantine, string(qu.ID)) {
			li.recordAgain(ctx, now, qu)
			continue
		}
		delete(li.recordAgainAt, part)
		if !li.proofs.Proven(now, part) {
			continue
		}
		if err := li.call(ctx, func(ctx context.Context) error { return li.recorder.Remove(ctx, part) }); err != nil {
			li.log.WarnLimited(event.StoreUnreachable, err, event.Fields{"part": part})
			continue
		}
		li.log.Info(event.QuarantineEnded, event.Fields{"part": part})
	}
}

// recordAgain records a quarantine that a restored store has lost. A few routers do so at
// once, the others if it is still lost later.
func (li *List) recordAgain(ctx context.Context, now time.Time, qu policy.Quarantine) {
	part := policy.PromptPartID(qu.Part)
	at, known := li.recordAgainAt[part]
	if !known && !li.group.Preferred(string(qu.ID), preferredRecorders) {
		at, known = now.Add(recordAgainDelay), true
		li.recordAgainAt[part] = at
	}
	if known && now.Before(at) {
		return
	}
	li.recordAgainAt[part] = now.Add(recordAgainDelay)
	if err := li.call(ctx, func(ctx context.Context) error { return li.recorder.Record(ctx, qu.Quarantine) }); err != nil {
		li.log.WarnLimited(event.StoreUnreachable, err, event.Fields{"part": part})
	}
}

func (li *List) call(ctx context.Context, fn func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return fn(ctx)
}

// updateRefused drops the refusals that have ended, or that the policy replaces, and
// returns the quarantines that are still to be recorded.
func (li *List) updateRefused(now time.Time, se *policy.Set) map[policy.PromptPartID]*rpc.Quarantine {
	li.mu.Lock()
	defer li.mu.Unlock()
	out := map[policy.PromptPartID]*rpc.Quarantine{}
	for part, re := range li.refused {
		_, inPolicy := se.QuarantineOf(part)
		switch {
		case inPolicy || !now.Before(re.until):
			delete(li.refused, part)
			delete(li.triedProbeAt, part)
		case re.pending != nil:
			out[part] = re.pending
		}
	}
	return out
}

// setRecorded notes that a quarantine has been recorded. The part stays refused here
// until the policy shows it.
func (li *List) setRecorded(part policy.PromptPartID) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if re, ok := li.refused[part]; ok {
		li.refused[part] = refusal{until: minTime(re.until, time.Now().Add(reportedTTL))}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
