package steward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// ratedPerStep is the least number of rated answers of the candidate at a
// step, where there is a rating service.
const ratedPerStep = 20

// rolloutTask moves one roll-out.
type rolloutTask struct {
	daemon *Daemon
	id     policy.RolloutID
	judge  *rollout.QualityTest
	// sequence is the last rating read.
	sequence int64
	// counts are the candidate's answers by entry, as last heard.
	counts map[string]int64
	// answers and rated count the candidate's since the step began.
	answers int64
	rated   int64
	step    float64
}

func newRolloutTask(da *Daemon, id policy.RolloutID) *rolloutTask {
	return &rolloutTask{daemon: da, id: id, counts: map[string]int64{}, step: -1}
}

// look implements task.
func (rt *rolloutTask) look(ctx context.Context, ho lease.Hold) bool {
	se := rt.daemon.holder.Set()
	ro, ok := se.Rollouts.ByID(rt.id)
	if !ok || !ro.Active() {
		return true
	}
	if rt.step != ro.Share {
		rt.step, rt.answers, rt.rated = ro.Share, 0, 0
	}
	reason := rt.readHealth(ro)
	if worse := rt.readRatings(ctx, se, ro); worse != "" {
		reason = worse
	}
	switch {
	case reason != "":
		rt.abort(ctx, ho, se, ro, reason)
	case ro.State == rpc.RolloutState_PAUSED:
	case ro.Share == 0:
		rt.move(ctx, ho, se, ro)
	case rt.enough(ro):
		rt.move(ctx, ho, se, ro)
	}
	return false
}

func (rt *rolloutTask) enough(ro policy.Rollout) bool {
	if rt.answers < ro.AnswersPerStep {
		return false
	}
	return rt.daemon.ratings == nil || rt.rated >= min(ratedPerStep, ro.AnswersPerStep)
}

// readHealth adds up what the entries saw, and gives why one of them found the
// candidate bad.
func (rt *rolloutTask) readHealth(ro policy.Rollout) string {
	reason := ""
	for _, it := range rt.daemon.peers.Table().List(entry.HealthPrefix + string(rt.id) + "/") {
		var he rpc.VersionHealth
		if proto.Unmarshal(it.Value, &he) != nil || he.GetVersion() != ro.ToVersion {
			continue
		}
		before, known := rt.counts[it.Key]
		if known && he.GetAnswers() > before {
			rt.answers += he.GetAnswers() - before
		}
		rt.counts[it.Key] = he.GetAnswers()
		if he.GetSuspect() {
			reason = he.GetReason()
		}
	}
	return reason
}

// readRatings takes in new ratings, and gives why they show the candidate bad.
func (rt *rolloutTask) readRatings(ctx context.Context, se *policy.Set, ro policy.Rollout) string {
	if rt.daemon.ratings == nil {
		return ""
	}
	if rt.judge == nil {
		ve, _ := se.Versions.ByID(policy.VersionID(ro.FromVersion))
		rt.judge = rollout.NewQualityTest(ve.Quality, ro.QualityMargin)
	}
	ras, err := rt.daemon.ratings.After(ctx, rt.sequence)
	if err != nil {
		rt.daemon.log.Debug(event.RatingsUnreachable, err, nil)
		return ""
	}
	for _, ra := range ras {
		rt.sequence = max(rt.sequence, ra.Sequence)
		switch ra.Version {
		case ro.FromVersion:
			rt.judge.Stable(ra.Quality)
		case ro.ToVersion:
			rt.judge.Candidate(ra.Quality)
			rt.rated++
		}
	}
	if rt.judge.Rejects() {
		return "rated below the version in use"
	}
	return ""
}

// move gives the candidate its next share; after the last one it becomes the
// stable version and the roll-out is done.
func (rt *rolloutTask) move(ctx context.Context, ho lease.Hold, se *policy.Set, ro policy.Rollout) {
	share, more := rollout.NextShare(ro)
	if more {
		rt.change(ctx, ho, se, event.RolloutMoved, field{policy.KindRollout, string(ro.ID), "spec.share", share})
		return
	}
	rt.change(ctx, ho, se, event.RolloutMoved,
		field{policy.KindRollout, string(ro.ID), "spec.state", rpc.RolloutState_DONE.String()},
		field{policy.KindModel, ro.Model, "spec.stable_version", ro.ToVersion})
}

// abort ends the roll-out and withdraws the candidate, in one change.
func (rt *rolloutTask) abort(ctx context.Context, ho lease.Hold, se *policy.Set, ro policy.Rollout, reason string) {
	rt.change(ctx, ho, se, event.RolloutAborted,
		field{policy.KindRollout, string(ro.ID), "spec.state", rpc.RolloutState_ABORTED.String()},
		field{policy.KindRollout, string(ro.ID), "spec.reason", reason},
		field{policy.KindVersion, ro.ToVersion, "spec.state", rpc.VersionState_WITHDRAWN.String()})
}

// field is one field of one record to set.
type field struct {
	kind  policy.Kind
	id    string
	path  string
	value any
}

// change sets fields of records under the task's fencing token. A conflict
// with an operator is left alone: the next look sees the operator's record.
func (rt *rolloutTask) change(ctx context.Context, ho lease.Hold, se *policy.Set, nu event.Number, fis ...field) {
	da := rt.daemon
	changes, err := edit(se, fis)
	if err != nil {
		da.log.Warn(event.ChangeFenced, err, event.Fields{"task": ho.Task})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, ho.ExpiresAt)
	defer cancel()
	rs, err := da.writer.Apply(ctx, configuration.Request{
		Changes: changes, ChangedBy: "steward " + string(da.peers.VM()), Fence: ho.Fence(),
	})
	var co *configuration.Conflict
	switch {
	case err == nil:
		da.log.Info(nu, event.Fields{"rollout": rt.id, "change": fmt.Sprint(fis), "revision": rs.Revision, "fencing_token": ho.Token})
	case errors.Is(err, configuration.ErrFenced):
		da.log.Warn(event.ChangeFenced, err, event.Fields{"task": ho.Task, "fencing_token": ho.Token})
	case !errors.As(err, &co):
		da.log.Debug(event.StoreUnreachable, err, event.Fields{"at": time.Now()})
	}
}

// edit gives the changes that set fields, one for each record.
func edit(se *policy.Set, fis []field) ([]configuration.Change, error) {
	var out []configuration.Change
	byKey := map[string]int{}
	for _, fi := range fis {
		key := string(fi.kind) + "/" + fi.id
		i, ok := byKey[key]
		if !ok {
			re, revision, _ := se.Record(fi.kind, fi.id)
			i = len(out)
			byKey[key] = i
			out = append(out, configuration.Change{Record: re, Base: revision})
		}
		re, err := out[i].Record.With(fi.path, fi.value)
		if err != nil {
			return nil, err
		}
		out[i].Record = re
	}
	return out, nil
}
