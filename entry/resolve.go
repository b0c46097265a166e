package entry

import (
	"context"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/session"
)

// target is the model and version that a request runs on.
type target struct {
	model   policy.ModelID
	version policy.Version
	// cascade is set when the request names a cascade.
	cascade policy.CascadeID
	choice  cascade.Choice
	// movedFrom is the session's earlier version, set when that may not run any more
	// and the session has moved to another version.
	movedFrom policy.VersionID
	// pinned is set when the version comes from the session. It is not set when a
	// session ID has the version that was assigned anyway, since the ID may be new.
	pinned bool
}

// resolve returns the model and version for a request under a policy set. A
// request that names a version gets it regardless of its session.
func (da *Daemon) resolve(ctx context.Context, se *policy.Set, ch *chatRequest) (target, *problem) {
	or, ok := se.Organisations.ByID(ch.organisation)
	if !ok {
		return target{}, unknownModel(ch.modelName)
	}
	if ve, ok := se.Versions.ByID(policy.VersionID(ch.modelName)); ok {
		return da.resolveVersion(se, or, ve)
	}
	tg, pr := da.assignVersion(se, or, ch)
	if pr != nil {
		return target{}, pr
	}
	return da.applySession(ctx, se, or, ch, tg)
}

func (da *Daemon) resolveVersion(se *policy.Set, or policy.Organisation, ve policy.Version) (target, *problem) {
	if pr := versionProblem(se, or.ID, ve.ID); pr != nil {
		return target{}, pr
	}
	return target{model: policy.ModelID(ve.Model), version: ve}, nil
}

// assignVersion chooses the model and version that the request would get without a
// session.
func (da *Daemon) assignVersion(se *policy.Set, or policy.Organisation, ch *chatRequest) (target, *problem) {
	if ca, ok := se.Cascades.ByID(policy.CascadeID(ch.modelName)); ok {
		if !or.AllowsCascade(ca.ID) {
			return target{}, unknownModel(ch.modelName)
		}
		return da.assignCascade(se, or, ca, ch)
	}
	mo, ok := se.Models.ByID(policy.ModelID(ch.modelName))
	if !ok {
		return target{}, unknownModel(ch.modelName)
	}
	id := session.Assign(se, mo, session.Draw(), da.rollouts.isSuspect)
	if pr := versionProblem(se, or.ID, id); pr != nil {
		return target{}, pr
	}
	ve, _ := se.Versions.ByID(id)
	return target{model: mo.ID, version: ve}, nil
}

// assignCascade chooses among the cascade's models that the organisation may use
// and that have usable endpoints.
func (da *Daemon) assignCascade(se *policy.Set, or policy.Organisation, ca policy.Cascade, ch *chatRequest) (target, *problem) {
	var arms []cascade.Arm
	var versions []policy.Version
	for _, name := range ca.Models {
		mo, ok := se.Models.ByID(policy.ModelID(name))
		if !ok {
			continue
		}
		id := session.Assign(se, mo, session.Draw(), da.rollouts.isSuspect)
		if versionProblem(se, or.ID, id) != nil || da.pools.usableSlots(da.pools.versionEndpoints(id)) == 0 {
			continue
		}
		ve, _ := se.Versions.ByID(id)
		tokens, _ := da.pools.get(modelPool(mo.ID)).estimate(ch.rank.ID, ch.maxTokens)
		arms = append(arms, cascade.Arm{
			Model: mo.ID, Version: id, Quality: ve.Quality,
			Cost: ve.Cost(ch.promptTokens(), policy.Tokens(tokens)),
		})
		versions = append(versions, ve)
	}
	if len(arms) == 0 {
		return target{}, &problem{status: http.StatusServiceUnavailable, code: "no_capacity", message: "no model of the cascade can take it now", retryAt: time.Now().Add(defaultRetryDelay)}
	}
	ci := da.cascades.choose(ca, ch.work, arms)
	return target{model: arms[ci.Index].Model, version: versions[ci.Index], cascade: ca.ID, choice: ci}, nil
}

// applySession replaces the assigned target tg by the version that the request's
// session already has. If that version may not run any more, the session moves to
// the assigned one and movedFrom is set, or the request is refused when the caller
// set X-Tanager-Session-Strict.
func (da *Daemon) applySession(ctx context.Context, se *policy.Set, or policy.Organisation, ch *chatRequest, tg target) (target, *problem) {
	had, pr := da.sessionVersion(ctx, ch, tg, "")
	if pr != nil || had == "" {
		return tg, pr
	}
	if versionProblem(se, or.ID, had) == nil {
		ve, _ := se.Versions.ByID(had)
		tg.pinned = had != tg.version.ID || ch.sessionToken != ""
		tg.version, tg.model = ve, policy.ModelID(ve.Model)
		return tg, nil
	}
	if ch.strictSession {
		return target{}, &problem{status: http.StatusConflict, code: "session_version_withdrawn", message: "the session's version " + string(had) + " takes no new work"}
	}
	if ch.sessionToken == "" {
		// If another entry has moved the session before, its version wins over the
		// one assigned here.
		moved, _ := da.sessionVersion(ctx, ch, tg, had)
		if ve, ok := se.Versions.ByID(moved); ok && versionProblem(se, or.ID, moved) == nil {
			tg.version, tg.model = ve, policy.ModelID(ve.Model)
		}
	}
	tg.movedFrom = had
	return tg, nil
}

// sessionVersion returns the version of the request's session, "" when the request
// has no session. A session ID that is new, or pinned to the version replaced, is
// first pinned to the version of tg. The version in a session token is fixed.
func (da *Daemon) sessionVersion(ctx context.Context, ch *chatRequest, tg target, replaced policy.VersionID) (policy.VersionID, *problem) {
	if ch.sessionToken != "" {
		cl, err := da.signer.Check(ch.sessionToken)
		if err != nil || cl.Organisation != ch.organisation {
			return "", invalidRequest(HeaderSession, "not a session token of this organisation")
		}
		if cl.Model != policy.ModelID(ch.modelName) {
			return "", invalidRequest(HeaderSession, "the session is on model "+string(cl.Model))
		}
		return cl.Version, nil
	}
	if ch.sessionID == "" {
		return "", nil
	}
	key := session.NewKey(ch.organisation, policy.ModelID(ch.modelName), ch.sessionID)
	return da.pins.Version(ctx, key, tg.version.ID, replaced), nil
}

// versionProblem returns why a version must not run for an organisation under a
// policy set, nil when it may. It is called at admission and again before every
// send, since the policy may have changed in between.
func versionProblem(se *policy.Set, or policy.OrganisationID, id policy.VersionID) *problem {
	og, ok := se.Organisations.ByID(or)
	ve, known := se.Versions.ByID(id)
	if !ok || !known || !og.AllowsVersion(ve) {
		return unknownModel(string(id))
	}
	if !ve.Live() {
		return &problem{status: http.StatusGone, code: "version_withdrawn", param: "model", message: "version " + string(id) + " is withdrawn"}
	}
	return nil
}
