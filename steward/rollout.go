package steward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// minRatingsPerStep is the number of ratings of the candidate that a step needs if
// there is a rating service. If AnswersPerStep is smaller, that many ratings are
// enough.
const minRatingsPerStep = 20

// rolloutTask advances one roll-out from step to step, or aborts it.
type rolloutTask struct {
	daemon  *Daemon
	id      policy.RolloutID
	quality *rollout.QualityTest
	// sequence is the sequence number of the last rating read, 0 before the first. A
	// new task reads all ratings that the rating service has.
	sequence int64
	// answersByItem holds the candidate's answer count that each entry published
	// last, by the key of the entry's item.
	answersByItem map[string]int64
	// answers and rated count the candidate's answers and ratings that this task has
	// read since the current step began.
	answers int64
	rated   int64
	// share is the share of new sessions in the current step, -1 before the first run.
	share float64
	// total is what all entries have observed of the roll-out.
	total rollout.Report
}

func newRolloutTask(da *Daemon, id policy.RolloutID) *rolloutTask {
	return &rolloutTask{daemon: da, id: id, answersByItem: map[string]int64{}, share: -1}
}

// run implements task. The task is done when the roll-out is no longer active. A
// roll-out at share 0 advances to its first step at once. A paused one does not
// advance, but is still aborted for a bad candidate.
func (rt *rolloutTask) run(ctx context.Context, ho lease.Hold) bool {
	se := rt.daemon.holder.Set()
	ro, ok := se.Rollouts.ByID(rt.id)
	if !ok || !ro.Active() {
		return true
	}
	if rt.share != ro.Share {
		rt.share, rt.answers, rt.rated = ro.Share, 0, 0
	}
	reason := rt.readHealth(ro)
	if lowQuality := rt.readRatings(ctx, se, ro); lowQuality != "" {
		reason = lowQuality
	}
	switch {
	case reason != "":
		rt.abort(ctx, ho, se, ro, reason)
	case ro.State == rpc.RolloutState_PAUSED:
	case ro.Share == 0:
		rt.advance(ctx, ho, se, ro)
	case rt.stepComplete(ro):
		rt.advance(ctx, ho, se, ro)
	}
	return false
}

// stepComplete reports whether the candidate has enough answers and ratings at the
// current step, and its answers show that it is good enough for the next one.
func (rt *rolloutTask) stepComplete(ro policy.Rollout) bool {
	if rt.answers < ro.AnswersPerStep || !rt.total.Safe(nextShare(ro)) {
		return false
	}
	return rt.daemon.ratings == nil || rt.rated >= min(minRatingsPerStep, ro.AnswersPerStep)
}

// nextShare returns the share of sessions that the candidate gets once the current step is complete:
// after the last step it becomes the version in use.
func nextShare(ro policy.Rollout) float64 {
	if share, more := rollout.NextShare(ro); more {
		return share
	}
	return 1
}

// readHealth adds the candidate's answers that the entries have reported since the last
// call. The first report of an entry only sets the count to compare with. It returns
// the reason if the candidate is to be rejected by the outcomes at all entries, and ""
// otherwise.
func (rt *rolloutTask) readHealth(ro policy.Rollout) string {
	rt.total = rollout.Report{}
	for it, re := range rt.daemon.peers.Table().Reports(entry.HealthKeys(ro.ID), ro.ToVersion) {
		answers := re.Total().Candidate.Answers
		before, known := rt.answersByItem[it.Key]
		if known && answers > before {
			rt.answers += answers - before
		}
		rt.answersByItem[it.Key] = answers
		rt.total = rt.total.Add(re)
	}
	return rt.total.Verdict()
}

// readRatings reads the new ratings from the rating service. It returns a reason if
// they show that the candidate is worse than the stable version, and "" otherwise.
func (rt *rolloutTask) readRatings(ctx context.Context, se *policy.Set, ro policy.Rollout) string {
	if rt.daemon.ratings == nil {
		return ""
	}
	if rt.quality == nil {
		ve, _ := se.Versions.ByID(policy.VersionID(ro.FromVersion))
		rt.quality = rollout.NewQualityTest(ve.Quality, ro.QualityMargin)
	}
	ras, err := rt.daemon.ratings.RatingsAfter(ctx, rt.sequence)
	if err != nil {
		rt.daemon.log.Debug(event.RatingsUnreachable, err, nil)
		return ""
	}
	for _, ra := range ras {
		rt.sequence = max(rt.sequence, ra.Sequence)
		switch ra.Version {
		case ro.FromVersion:
			rt.quality.Stable(ra.Quality)
		case ro.ToVersion:
			rt.quality.Candidate(ra.Quality)
			rt.rated++
		}
	}
	if rt.quality.Rejects() {
		return "rated below the version in use"
	}
	return ""
}

// advance sets the candidate's next share. After the last one it makes the
// candidate the stable version and completes the roll-out.
func (rt *rolloutTask) advance(ctx context.Context, ho lease.Hold, se *policy.Set, ro policy.Rollout) {
	share, more := rollout.NextShare(ro)
	if more {
		rt.apply(ctx, ho, se, event.RolloutMoved, fieldChange{policy.KindRollout, string(ro.ID), "spec.share", share})
		return
	}
	rt.apply(ctx, ho, se, event.RolloutMoved,
		fieldChange{policy.KindRollout, string(ro.ID), "spec.state", rpc.RolloutState_DONE.String()},
		fieldChange{policy.KindModel, ro.Model, "spec.stable_version", ro.ToVersion})
}

// abort aborts the roll-out and withdraws the candidate in one commit.
func (rt *rolloutTask) abort(ctx context.Context, ho lease.Hold, se *policy.Set, ro policy.Rollout, reason string) {
	rt.apply(ctx, ho, se, event.RolloutAborted,
		fieldChange{policy.KindRollout, string(ro.ID), "spec.state", rpc.RolloutState_ABORTED.String()},
		fieldChange{policy.KindRollout, string(ro.ID), "spec.reason", reason},
		fieldChange{policy.KindVersion, ro.ToVersion, "spec.state", rpc.VersionState_WITHDRAWN.String()})
}

// fieldChange is a new value for one field of a record. path is the field's path in
// the record's JSON.
type fieldChange struct {
	kind  policy.Kind
	id    string
	path  string
	value any
}

// apply commits changes of fields, provided that the store still has the task's
// fencing token, and logs event nu. A conflict with an operator's change is neither
// logged nor retried: the next run reads the operator's record. An error that is
// neither a conflict nor ErrFenced is logged as StoreUnreachable.
func (rt *rolloutTask) apply(ctx context.Context, ho lease.Hold, se *policy.Set, nu event.Number, fis ...fieldChange) {
	da := rt.daemon
	changes, err := recordChanges(se, fis)
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
		op := rollout.Compare(rt.total.Routes)
		da.log.Info(nu, event.Fields{
			"rollout": rt.id, "change": fmt.Sprint(fis), "revision": rs.Revision, "fencing_token": ho.Token,
			"routes": rt.total.RouteSummaries(), "odds_bad": op.Odds, "expected_loss": op.ExpectedLoss,
		})
	case errors.Is(err, configuration.ErrFenced):
		da.log.Warn(event.ChangeFenced, err, event.Fields{"task": ho.Task, "fencing_token": ho.Token})
	case !errors.As(err, &co):
		da.log.Debug(event.StoreUnreachable, err, event.Fields{"at": time.Now()})
	}
}

// recordChanges returns the changes that set the fields, one for each record, so that
// fields of the same record change together.
func recordChanges(se *policy.Set, fis []fieldChange) ([]configuration.Change, error) {
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
		re, err := out[i].Record.WithField(fi.path, fi.value)
		if err != nil {
			return nil, err
		}
		out[i].Record = re
	}
	return out, nil
}
