package quarantine

import (
	"context"
	"sync"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/worker"
)

const (
	// holdersPerService is the number of routers that count the crashes of a service. Each
	// counts all of them, so that some have most when routers come and go.
	holdersPerService = 5
	// reportDelay is how long a report waits for others: a crash breaks several answers.
	reportDelay = 20 * time.Millisecond
	// reportTimeout is the time limit of a call to a holder, and maxReporting the number of rounds
	// of calls at a time: one holder that does not answer must not hold up what comes next.
	reportTimeout = 500 * time.Millisecond
	maxReporting  = 16
	// recordInterval is the time between attempts to record or remove quarantines, and
	// recordTimeout the time limit of one.
	recordInterval = 250 * time.Millisecond
	recordTimeout  = time.Second
	// preferredRecorders is how many routers record at once a quarantine that a restored
	// store has lost. recordAgainDelay is when the others do, and when all try again.
	preferredRecorders = 2
	recordAgainDelay   = 2 * time.Second
)

// Run reports crashes to the holders of their services, records quarantines, and ends those
// of subjects that this router knows to be harmless, until ctx is done.
func (li *List) Run(ctx context.Context) {
	gr := worker.NewGroup()
	defer gr.Close()
	defer li.keeping.Close()
	gr.Every(recordInterval, func(context.Context) { li.record(ctx) })
	gr.Every(recordInterval, func(context.Context) { li.compareEvidence(ctx) })
	reporting := make(chan struct{}, maxReporting)
	for ctx.Err() == nil {
		select {
		case rp := <-li.reports:
			worker.Sleep(ctx, reportDelay)
			rps := li.collect(rp)
			reporting <- struct{}{}
			gr.Go(func(context.Context) {
				li.report(ctx, rps)
				<-reporting
			})
		case <-ctx.Done():
		}
	}
}

// collect returns a report and those that wait behind it.
func (li *List) collect(first report) []report {
	out := []report{first}
	for {
		select {
		case rp := <-li.reports:
			out = append(out, rp)
		default:
			return out
		}
	}
}

// report sends the breaks that were crashes to the holders of their services, all at once, and
// blocks until these have answered.
func (li *List) report(ctx context.Context, rps []report) {
	alive := li.alive(ctx, rps)
	now, byHolder := time.Now(), map[peer.Holder]*rpc.ReportCrashesRequest{}
	holders := map[policy.ServiceID][]peer.Holder{}
	for _, rp := range rps {
		defer close(rp.counted)
		crs := li.crashesOf(now, rp.Break, alive[rp.Endpoint])
		if len(crs) == 0 {
			continue
		}
		if holders[rp.Service] == nil {
			holders[rp.Service] = li.holdersOf(rp.Service)
		}
		for _, ho := range holders[rp.Service] {
			if byHolder[ho] == nil {
				byHolder[ho] = &rpc.ReportCrashesRequest{}
			}
			for _, cr := range crs {
				byHolder[ho].Crashes = append(byHolder[ho].Crashes, cr.message(now))
			}
		}
	}
	li.tell(ctx, byHolder)
}

// alive returns the endpoints that run although they broke off answers, as one that fails single
// requests does. restartTime after that was found, it no longer shows that they did not crash.
func (li *List) alive(ctx context.Context, rps []report) map[policy.EndpointID]bool {
	now, out, asked := time.Now(), map[policy.EndpointID]bool{}, map[policy.EndpointID]bool{}
	var mu sync.Mutex
	gr := worker.NewGroup()
	for _, rp := range rps {
		if asked[rp.Endpoint] || now.Sub(rp.FoundAt) >= restartTime {
			continue
		}
		asked[rp.Endpoint] = true
		gr.Go(func(context.Context) {
			if li.prober.Alive(ctx, rp.Service, rp.Address) {
				mu.Lock()
				defer mu.Unlock()
				out[rp.Endpoint] = true
			}
		})
	}
	gr.Wait()
	return out
}

// tell calls holders, all at once, and blocks until they have answered.
func (li *List) tell(ctx context.Context, byHolder map[peer.Holder]*rpc.ReportCrashesRequest) {
	gr := worker.NewGroup()
	for ho, rq := range byHolder {
		gr.Go(func(context.Context) { li.reportTo(ctx, ho, rq) })
	}
	gr.Wait()
}

// reportTo sends crashes to one holder, and refuses the subjects that it has quarantined.
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
	for _, text := range rs.GetQuarantined() {
		li.refuseReported(policy.Subject{Part: policy.PromptPartID(text)})
	}
	for _, text := range rs.GetFingerprints() {
		li.refuseReported(policy.Subject{Request: policy.Fingerprint(text)})
	}
}

// refuseReported refuses a subject that a holder has quarantined.
func (li *List) refuseReported(su policy.Subject) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if _, ok := li.refused[su]; !ok {
		li.refused[su] = refusal{until: time.Now().Add(reportedTTL)}
	}
}

// record records the quarantines that are pending, forgets refusals that the policy replaces, and
// ends the quarantines of subjects that are proven, or of which others explain the crashes.
func (li *List) record(ctx context.Context) {
	now, se := time.Now(), li.holder.Set()
	for su, qu := range li.updateRefused(now, se) {
		if err := li.call(ctx, func(ctx context.Context) error { return li.recorder.Record(ctx, qu) }); err != nil {
			li.log.WarnLimited(event.StoreUnreachable, err, event.Fields{"subject": su})
			continue
		}
		li.setRecorded(su)
	}
	for _, qu := range se.Quarantines.List() {
		su := qu.Subject()
		if se.Retains(policy.KindQuarantine, string(qu.ID)) {
			li.recordAgain(ctx, now, qu)
			continue
		}
		delete(li.recordAgainAt, su)
		if li.proofs.Proven(now, su) && li.end(ctx, se, su, event.QuarantineEnded) {
			li.tellHarmless(ctx, su)
		}
	}
	li.forgetEnded(ctx, now, se)
	for _, su := range li.explained(now) {
		li.end(ctx, se, su, event.QuarantineExplained)
	}
}

// end ends the quarantine of a subject that a policy set shows, and reports whether the store has done so.
func (li *List) end(ctx context.Context, se *policy.Set, su policy.Subject, why event.Number) bool {
	_, revision, _ := se.Record(policy.KindQuarantine, string(policy.QuarantineIDOf(su)))
	applied := false
	err := li.call(ctx, func(ctx context.Context) (err error) {
		applied, err = li.recorder.Remove(ctx, su, revision)
		return err
	})
	if err != nil {
		li.log.WarnLimited(event.StoreUnreachable, err, event.Fields{"subject": su})
	}
	if applied {
		li.log.Info(why, event.Fields{"subject": su})
	}
	return applied
}

// tellHarmless tells the holders of a service's crashes that an answer to a prompt with a part went
// well here. They would count crashes beside it again.
func (li *List) tellHarmless(ctx context.Context, su policy.Subject) {
	id := li.proofs.ServiceOf(su)
	if su.Part == "" || id == "" {
		return
	}
	byHolder := map[peer.Holder]*rpc.ReportCrashesRequest{}
	for _, ho := range li.holdersOf(id) {
		byHolder[ho] = &rpc.ReportCrashesRequest{HarmlessParts: []string{string(su.Part)}}
	}
	li.tell(ctx, byHolder)
}

// explained returns the subjects in quarantine of which others explain the crashes.
func (li *List) explained(now time.Time) []policy.Subject {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.evidence.Explained(now)
}

// forgetEnded drops the evidence against subjects that are no longer in quarantine, here and in the
// store: routers that start later must not find it there.
func (li *List) forgetEnded(ctx context.Context, now time.Time, se *policy.Set) {
	li.mu.Lock()
	forgotten := li.evidence.SetQuarantined(now, func(su policy.Subject) bool {
		_, ok := se.QuarantineOf(su)
		return ok
	})
	for su := range forgotten {
		li.forgotten.Add(su, now)
	}
	li.mu.Unlock()
	for _, id := range forgotten {
		li.keep(ctx, id, false)
	}
}

// recordAgain records a quarantine that a restored store has lost. A few routers do so at
// once, the others if it is still lost later.
func (li *List) recordAgain(ctx context.Context, now time.Time, qu policy.Quarantine) {
	su := qu.Subject()
	at, known := li.recordAgainAt[su]
	if !known && !li.group.Preferred(string(qu.ID), preferredRecorders) {
		at, known = now.Add(recordAgainDelay), true
		li.recordAgainAt[su] = at
	}
	if known && now.Before(at) {
		return
	}
	li.recordAgainAt[su] = now.Add(recordAgainDelay)
	if err := li.call(ctx, func(ctx context.Context) error { return li.recorder.Record(ctx, qu.Quarantine) }); err != nil {
		li.log.WarnLimited(event.StoreUnreachable, err, event.Fields{"subject": su})
	}
}

func (li *List) call(ctx context.Context, fn func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return fn(ctx)
}

// updateRefused drops the refusals that have ended, or that the policy replaces, and
// returns the quarantines that are still to be recorded.
func (li *List) updateRefused(now time.Time, se *policy.Set) map[policy.Subject]*rpc.Quarantine {
	li.mu.Lock()
	defer li.mu.Unlock()
	out := map[policy.Subject]*rpc.Quarantine{}
	for su, re := range li.refused {
		_, inPolicy := se.QuarantineOf(su)
		switch {
		case inPolicy || !now.Before(re.until):
			delete(li.refused, su)
			delete(li.triedProbeAt, su)
		case re.pending != nil:
			out[su] = re.pending
		}
	}
	return out
}

// setRecorded notes that a quarantine has been recorded. The subject stays refused here
// until the policy shows it.
func (li *List) setRecorded(su policy.Subject) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if re, ok := li.refused[su]; ok {
		li.refused[su] = refusal{until: minTime(re.until, time.Now().Add(reportedTTL))}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
