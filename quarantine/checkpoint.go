package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// maxSavedBytes bounds the suspects of one service in the store.
	maxSavedBytes = 64 << 10
	// maxSavedCrashes is the number of crashes of one service in the store, the newest ones.
	maxSavedCrashes = 64
)

// Export returns the evidence of a service, without the subjects for which skip returns true. If that is
// too much, the subjects with the most crashes go first, and then those with the newest.
func (ev *Evidence) Export(now time.Time, id policy.ServiceID, skip func(su policy.Subject) bool) *rpc.CrashEvidence {
	sus := slices.DeleteFunc(ev.suspectsOf(id), func(su *suspect) bool { return now.After(su.forgetAt) || skip(su.subject) })
	slices.SortFunc(sus, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.incidents), len(a.incidents)), b.newest().Compare(a.newest()), cmp.Compare(a.subject.String(), b.subject.String()))
	})
	ins := incidentsOf(sus)
	ins = ins[max(0, len(ins)-maxSavedCrashes):]
	out := &rpc.CrashEvidence{Service: string(id), WrittenAtMs: now.UnixMilli()}
	index := map[*incident]int32{}
	for n, in := range ins {
		index[in] = int32(n)
		out.Crashes = append(out.Crashes, &rpc.EndpointCrash{Endpoint: string(in.run.ID), EndpointStartedAtMs: in.run.StartedAtMs, AtMs: in.at.UnixMilli()})
	}
	size := 0
	for _, su := range sus {
		ms := su.message(index)
		if len(ms.GetCrashes()) > 0 && size+proto.Size(ms) <= maxSavedBytes {
			size += proto.Size(ms)
			out.Suspects = append(out.Suspects, ms)
		}
	}
	return out
}

// message returns a suspect with the crashes that index has.
func (su *suspect) message(index map[*incident]int32) *rpc.CrashSuspect {
	ms := &rpc.CrashSuspect{Part: string(su.subject.Part), Fingerprint: string(su.subject.Request)}
	for _, in := range su.incidents {
		if n, ok := index[in]; ok {
			ms.Crashes = append(ms.Crashes, n)
		}
	}
	for request := range su.requests {
		ms.Requests = append(ms.Requests, string(request))
	}
	slices.Sort(ms.Crashes)
	slices.Sort(ms.Requests)
	return ms
}

// newest returns the time of the suspect's newest crash.
func (su *suspect) newest() time.Time {
	return slices.MaxFunc(su.incidents, func(a, b *incident) int { return a.at.Compare(b.at) }).at
}

// suspectsOf returns the suspects of a service.
func (ev *Evidence) suspectsOf(id policy.ServiceID) []*suspect {
	return slices.DeleteFunc(ev.suspects.Values(), func(su *suspect) bool { return su.service != id })
}

// incidentsOf returns the crashes of suspects, in the order of their times.
func incidentsOf(sus []*suspect) []*incident {
	all := map[*incident]bool{}
	for _, su := range sus {
		for _, in := range su.incidents {
			all[in] = true
		}
	}
	return slices.SortedFunc(maps.Keys(all), func(a, b *incident) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.run.ID, b.run.ID))
	})
}

// Merged is what Evidence.Merge has added.
type Merged struct {
	// Crashes and Suspects are the numbers of those that were not known.
	Crashes, Suspects int
	// Verdicts are those on subjects whose crashes suffice now.
	Verdicts map[policy.Subject]Verdict
}

// Merge adds the evidence that another router exported, without the subjects for which skip returns
// true. The same crash is counted once.
func (ev *Evidence) Merge(now time.Time, ms *rpc.CrashEvidence, skip func(su policy.Subject) bool) Merged {
	id, out := policy.ServiceID(ms.GetService()), Merged{Verdicts: map[policy.Subject]Verdict{}}
	ins, created := ev.mergeCrashes(now, id, ms)
	out.Crashes = created
	for _, st := range ms.GetSuspects() {
		subject := subjectOf(st)
		if subject == (policy.Subject{}) || skip(subject) {
			continue
		}
		su, known := ev.suspects.Get(subject)
		if !known || now.After(su.forgetAt) {
			su = suspectOf(id, subject, st, ins)
			if su == nil || now.After(su.forgetAt) {
				continue
			}
			ev.suspects.Add(subject, su)
			out.Suspects++
		}
		su.addSaved(st, ins)
		if ve, ok := ev.verdict(su); ok {
			out.Verdicts[subject] = ve
		}
	}
	return out
}

// mergeCrashes returns the crashes of saved evidence, those that are known here as they are, and the
// number of those that are not.
func (ev *Evidence) mergeCrashes(now time.Time, id policy.ServiceID, ms *rpc.CrashEvidence) (out []*incident, created int) {
	known := map[policy.EndpointRun][]*incident{}
	for _, in := range incidentsOf(ev.suspectsOf(id)) {
		known[in.run] = append(known[in.run], in)
	}
	for _, cr := range ms.GetCrashes() {
		run := policy.EndpointRun{ID: policy.EndpointID(cr.GetEndpoint()), StartedAtMs: cr.GetEndpointStartedAtMs()}
		if ins := known[run]; len(ins) > 0 {
			out, known[run] = append(out, ins[0]), ins[1:]
			continue
		}
		in := &incident{at: savedTime(now, ms.GetWrittenAtMs(), cr.GetAtMs()), run: run}
		if last, ok := ev.incidents.Peek(run.ID); !ok || last.at.Before(in.at) {
			ev.incidents.Add(run.ID, in)
		}
		out, created = append(out, in), created+1
	}
	return out, created
}

// savedTime returns when something happened at a time of the clock of a VM that wrote it down at another
// time of that clock. Clocks may be off: what was written lasts for Duration at most.
func savedTime(now time.Time, writtenAtMs, atMs int64) time.Time {
	since := now.UnixMilli() - writtenAtMs
	if since < 0 || since > Duration.Milliseconds() {
		since = 0
	}
	age := min(max(0, writtenAtMs-atMs), evidenceTTL.Milliseconds())
	return now.Add(-time.Duration(since+age) * time.Millisecond)
}

// suspectOf returns a new suspect for a saved one, nil if that has no crash.
func suspectOf(id policy.ServiceID, subject policy.Subject, st *rpc.CrashSuspect, ins []*incident) *suspect {
	su := newSuspect(id, subject, time.Time{})
	su.addSaved(st, ins)
	if len(su.incidents) == 0 {
		return nil
	}
	oldest := slices.MinFunc(su.incidents, func(a, b *incident) int { return a.at.Compare(b.at) })
	return newSuspect(id, subject, oldest.at)
}

// addSaved adds the crashes and requests of a saved suspect.
func (su *suspect) addSaved(st *rpc.CrashSuspect, ins []*incident) {
	for _, n := range st.GetCrashes() {
		if n >= 0 && int(n) < len(ins) {
			su.addIncident(ins[n])
		}
	}
	for _, request := range st.GetRequests() {
		su.addRequest(policy.PromptPartID(request))
	}
}

// subjectOf returns the subject of a saved suspect.
func subjectOf(st *rpc.CrashSuspect) policy.Subject {
	return policy.Subject{Part: policy.PromptPartID(st.GetPart()), Request: policy.Fingerprint(st.GetFingerprint())}
}

// lacks reports whether the saved evidence of a service has fewer crashes or requests of a subject than
// that of a router.
func lacks(saved, own *rpc.CrashEvidence) bool {
	bySubject := map[policy.Subject]*rpc.CrashSuspect{}
	for _, st := range saved.GetSuspects() {
		bySubject[subjectOf(st)] = st
	}
	return slices.ContainsFunc(own.GetSuspects(), func(st *rpc.CrashSuspect) bool {
		have := bySubject[subjectOf(st)]
		return len(have.GetCrashes()) < len(st.GetCrashes()) || len(have.GetRequests()) < len(st.GetRequests())
	})
}
