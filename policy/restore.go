package policy

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// A store that was restored from an older copy has lost the newest changes, until those who
// made them write them again. The functions in this file decide what remains in force
// meanwhile. Revisions cannot tell, since the store gives them out again.

// configurationKey is the record whose sequence is the version of the operator's whole
// configuration, to which all records of configurationKinds belong.
const configurationKey = string(KindLimits) + "/" + string(LimitsSite)

var configurationKinds = []Kind{KindRoute, KindService, KindOrganisation, KindCallerKeys, KindLimits}

// ConfigurationKinds returns the kinds of records that the operator's whole configuration
// defines: a record of these kinds that it does not contain is removed.
func ConfigurationKinds() []Kind { return slices.Clone(configurationKinds) }

// writeOrder orders the writes of an endpoint: by its start, then by its own count.
type writeOrder struct {
	startedAtMS, sequence int64
}

// before reports whether a write came before another.
func (wo writeOrder) before(other writeOrder) bool {
	if wo.startedAtMS != other.startedAtMS {
		return wo.startedAtMS < other.startedAtMS
	}
	return wo.sequence < other.sequence
}

func writeOrderOf(pr parsedRecord) writeOrder {
	en, ok := pr.value.(Endpoint)
	if !ok {
		return writeOrder{}
	}
	return writeOrder{startedAtMS: en.StartedAtMs, sequence: pr.record.GetSequence()}
}

// RetainedDigest identifies the live records that a set retains from earlier eras than its
// own; 0 if there are none.
type RetainedDigest uint64

// retainedDigest returns the digest of the keys and texts, not of the revisions: routers
// may have learnt of the same write by different ones.
func (se *Set) retainedDigest() RetainedDigest {
	retained := se.RetainedRecords()
	if len(retained) == 0 {
		return 0
	}
	slices.SortFunc(retained, func(a, b StoredRecord) int { return strings.Compare(a.Key, b.Key) })
	di := xxhash.New()
	for _, st := range retained {
		_, _ = di.WriteString(st.Key + "\x00") // never fails
		_, _ = di.Write(append(st.Value, 0))   // never fails
	}
	return RetainedDigest(di.Sum64())
}

// RetainedRecords returns the live records that the set retains from earlier eras than its
// own.
func (se *Set) RetainedRecords() []StoredRecord {
	var out []StoredRecord
	for key, pr := range se.earlierThan(se.Revision.Era()) {
		if !pr.deleted() {
			out = append(out, StoredRecord{Key: key, Value: slices.Clone(pr.stored.Value), ModRevision: pr.stored.ModRevision})
		}
	}
	return out
}

// Retains reports whether the set retains a record from an earlier era than its own.
func (se *Set) Retains(ki Kind, id string) bool {
	pr, ok := se.byKey[string(ki)+"/"+id]
	return ok && pr.stored.ModRevision.Era() < se.Revision.Era()
}

// ConfigurationVersion returns the version of the operator's whole configuration, 0 if the
// set has none.
func (se *Set) ConfigurationVersion() int64 { return configurationVersion(se.byKey) }

func configurationVersion(prs map[string]parsedRecord) int64 {
	pr, ok := prs[configurationKey]
	if !ok || pr.record.Record == nil {
		return 0
	}
	return pr.record.GetSequence()
}

// WithRetained returns the set with the records that a peer retains from earlier eras, as
// far as this set has lost them. It returns the set itself if it lacks none.
func (se *Set) WithRetained(records []StoredRecord) *Set {
	next := &Set{Revision: se.Revision, SnapshotRevision: se.SnapshotRevision, Form: se.Form, byKey: maps.Clone(se.byKey)}
	candidates := map[string]parsedRecord{}
	for _, st := range records {
		if st.ModRevision.Era() < se.Revision.Era() {
			candidates[st.Key] = parseStored(st)
		}
	}
	next.retain(candidates)
	next.buildIndexes(buildAll)
	if next.Retained == se.Retained {
		return se
	}
	return next
}

// earlierThan returns the records of earlier eras than the given one.
func (se *Set) earlierThan(era store.Era) map[string]parsedRecord {
	out := map[string]parsedRecord{}
	for key, pr := range se.byKey {
		if pr.stored.ModRevision.Era() < era {
			out[key] = pr
		}
	}
	return out
}

// retain puts those records of earlier eras into the set that stay in force although the
// restored store lacks them, or has them in an older form:
//
//   - The operator's configuration, as a whole, until the operator writes one of the same
//     version or a later one.
//   - An endpoint's registration, or its removal, until the endpoint writes a later one.
//   - A roll-out, until its order and what has been decided about it are in the store, or
//     another is ordered.
//   - A quarantine, until it is in the store again.
//   - An evacuation, until the operator's order is in the store again. One that the copy brings
//     back is in force, as long as it is there.
//
// Other records are as the store has them. The set must not be in use yet.
func (se *Set) retain(earlier map[string]parsedRecord) {
	newer := configurationVersion(earlier) > configurationVersion(se.byKey)
	if newer {
		maps.DeleteFunc(se.byKey, func(_ string, pr parsedRecord) bool { return pr.ofConfiguration() })
	}
	for key, pr := range earlier {
		read, ok := se.byKey[key]
		if pr.ofConfiguration() && newer || pr.outlives(read, ok) {
			se.byKey[key] = pr
		}
	}
}

// maxRemoved is the number of removed endpoints that a complete read keeps in memory.
const maxRemoved = 1000

// rememberRemoved keeps, as tombstones, the newest of those endpoints of an earlier set that
// this one lacks after a complete read. An older copy of the store may bring them back.
func (se *Set) rememberRemoved(earlier *Set) {
	var removed []parsedRecord
	for key, pr := range earlier.byKey {
		if _, ok := se.byKey[key]; !ok && pr.kind() == KindEndpoint {
			removed = append(removed, pr)
		}
	}
	slices.SortFunc(removed, func(a, b parsedRecord) int {
		return cmp.Compare(b.stored.ModRevision, a.stored.ModRevision)
	})
	for _, pr := range removed[:min(len(removed), maxRemoved)] {
		if to, ok := pr.tombstone(se.Revision); ok {
			se.byKey[string(to.stored.Key)] = to
		}
	}
}

// tombstone returns the tombstone of a record that is gone at a revision, or the record
// itself if it is one.
func (pr parsedRecord) tombstone(revision store.Revision) (parsedRecord, bool) {
	if pr.deleted() {
		return pr, true
	}
	re, err := NewTombstone(pr.kind(), pr.record.GetId())
	if err != nil {
		return parsedRecord{}, false
	}
	to := parseStored(StoredRecord{Key: re.Key(), Value: re.JSON, ModRevision: revision})
	to.written = pr.written
	return to, true
}

func (pr parsedRecord) kind() Kind {
	if pr.record.Record == nil {
		return ""
	}
	return Kind(pr.record.GetKind())
}

func (pr parsedRecord) ofConfiguration() bool { return slices.Contains(configurationKinds, pr.kind()) }

// outlives reports whether a record of an earlier era stays in force although the store has
// read instead; found is false if the store has none.
func (pr parsedRecord) outlives(read parsedRecord, found bool) bool {
	if pr.ofConfiguration() {
		return false
	}
	if found && read.stored.ModRevision.Era() == pr.stored.ModRevision.Era() && pr.kind() != KindRollout {
		return read.stored.ModRevision < pr.stored.ModRevision
	}
	switch pr.kind() {
	case KindEndpoint:
		return pr.endpointOutlives(read, found)
	case KindRollout:
		return pr.rolloutOutlives(read, found)
	case KindQuarantine:
		return !found || pr.deleted() && pr.lostWrite(read)
	case KindEvacuation:
		return !found && !pr.deleted()
	default:
		return false
	}
}

// lostWrite reports whether the store had a record in the form read before it had it in this
// form. If not, the form was written after the restore.
func (pr parsedRecord) lostWrite(read parsedRecord) bool {
	return read.stored.ModRevision.Number() < pr.stored.ModRevision.Number()
}

func (pr parsedRecord) endpointOutlives(read parsedRecord, found bool) bool {
	if !found || read.deleted() {
		return false
	}
	return read.written.before(pr.written) || pr.deleted() && !pr.written.before(read.written)
}

func (pr parsedRecord) rolloutOutlives(read parsedRecord, found bool) bool {
	ro, ok := pr.value.(Rollout)
	if !ok || ro.Service == "" {
		return false
	}
	other, ok := read.value.(Rollout)
	switch {
	case !found || !ok:
		return true
	case ro.SameOrder(other):
		sameEra := read.stored.ModRevision.Era() == pr.stored.ModRevision.Era()
		return ro.progress() > other.progress() ||
			sameEra && ro.progress() == other.progress() && read.stored.ModRevision < pr.stored.ModRevision
	default:
		return pr.lostWrite(read)
	}
}

// SameOrder reports whether two roll-outs of a service's release have the same order.
func (ro Rollout) SameOrder(other Rollout) bool {
	return ro.Service == other.Service && ro.ToVersion == other.ToVersion && ro.DurationMs == other.DurationMs
}

// FurtherThan reports whether more has been decided about a roll-out of a service's release
// than about another with the same order.
func (ro Rollout) FurtherThan(other Rollout) bool { return ro.progress() > other.progress() }

// progress counts what has been decided about a roll-out of a service's release: its start,
// its release's promotion, its end.
func (ro Rollout) progress() int {
	switch {
	case ro.State == rpc.RolloutState_DONE || ro.State == rpc.RolloutState_ABORTED:
		return 3
	case ro.PromotedAtMs > 0:
		return 2
	case ro.StartedAtMs > 0:
		return 1
	default:
		return 0
	}
}
