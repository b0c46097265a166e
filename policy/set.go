package policy

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/store"
)

// Set is the set of all policy records at one revision. It is immutable and safe
// for concurrent use. It depends only on the stored records, so that all daemons at
// the same revision take the same decisions.
type Set struct {
	Revision store.Revision
	// SnapshotRevision is the revision of the last complete read, 0 if there was
	// none. Records removed after it are kept as tombstones; those removed before
	// it are in the set only as far as rememberRemoved keeps them. A peer whose policy is older than it must
	// therefore be sent all records: ChangedAfter of the peer's revision would lack
	// removals.
	SnapshotRevision store.Revision
	// Retained identifies the records from before a restore of the store that the set
	// retains although the store has lost them; see retain.
	Retained RetainedDigest
	// Form is the form in which the records were translated. A set of a lower form than
	// NewestForm may lack what is in the store.
	Form  Form
	byKey map[string]parsedRecord

	Organisations Table[OrganisationID, Organisation]
	CallerKeys    Table[OrganisationID, CallerKeys]
	Operators     Table[OperatorID, Operator]
	Models        Table[ModelID, Model]
	Versions      Table[VersionID, Version]
	Cascades      Table[CascadeID, Cascade]
	Ranks         Table[RankID, Rank]
	Endpoints     Table[EndpointID, Endpoint]
	Services      Table[ServiceID, Service]
	Rollouts      Table[RolloutID, Rollout]
	Routes        Table[RouteID, Route]
	Limits        Table[LimitsID, Limits]
	Quarantines   Table[QuarantineID, Quarantine]
	Evacuations   Table[FailureDomain, Evacuation]

	// Findings lists why records cannot be used. These records count as absent.
	Findings finding.List

	// byCallerKey and byOperatorKey map hashes of keys, as returned by HashKey.
	byCallerKey   map[string]OrganisationID
	byOperatorKey map[string]OperatorID
	// hasOrganisation reports whether there is a record of an organisation, usable or not.
	hasOrganisation bool
	// built reports whether the tables and indexes are filled.
	built bool
	// coldEndpoints are the endpoints that are cold by their records, sorted by id.
	coldEndpoints []Endpoint
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]Route
}

// parsedRecord is a stored record with its parsed form. value is the typed record,
// for example an Organisation; nil if the record is deleted or cannot be used.
// findings says why it cannot be used. written orders it among the writes of its writer; a
// tombstone has that of the record which it replaces.
type parsedRecord struct {
	stored   store.KeyValue
	record   Record
	value    any
	findings finding.List
	written  writeOrder
}

// StoredRecord is one record in its stored form. Key is kind/id, without the store
// prefix that all records share.
type StoredRecord struct {
	Key         string
	Value       []byte
	ModRevision store.Revision
	// made is the record itself if this program has made it.
	made Record
}

// NewSet returns an empty set.
func NewSet() *Set { return (&Set{Form: NewestForm}).WithChanges(0, nil) }

// WithChanges returns the set with changes applied. A change is ignored if the set
// already has the record at the same or a greater ModRevision. The new revision is
// the greatest of the set's, the given one and those of the applied changes.
func (se *Set) WithChanges(revision store.Revision, changes []StoredRecord) *Set {
	next := &Set{Revision: max(se.Revision, revision), SnapshotRevision: se.SnapshotRevision, Form: se.Form, byKey: maps.Clone(se.byKey)}
	if next.byKey == nil {
		next.byKey = map[string]parsedRecord{}
	}
	changed := map[Kind]bool{}
	for _, st := range changes {
		old, ok := next.byKey[st.Key]
		if ok && old.stored.ModRevision >= st.ModRevision {
			continue
		}
		pr := parseStored(st)
		if pr.deleted() {
			pr.written = old.written
		}
		next.byKey[st.Key] = pr
		next.Revision = max(next.Revision, st.ModRevision)
		changed[kindOfKey(st.Key)] = true
	}
	next.buildIndexes(func(ki Kind) *Set {
		if changed[ki] {
			return nil
		}
		return se
	})
	return next
}

// WithSnapshot returns the set after a complete read of all records at a revision.
// Records that are missing from the read are removed. A record of the set whose
// ModRevision is greater than the revision of the read is kept as it is; the new
// set's revision is nevertheless that of the read. A record whose text has not
// changed is not parsed again and keeps its ModRevision, unless that is of an earlier era.
// Records of earlier eras that the read lacks, or has in an older state, may be retained;
// see retain. The records were translated in the newest form.
func (se *Set) WithSnapshot(revision store.Revision, records []StoredRecord) *Set {
	next := &Set{Revision: revision, SnapshotRevision: revision, Form: NewestForm, byKey: make(map[string]parsedRecord, len(records))}
	for key, pr := range se.byKey {
		if pr.stored.ModRevision > revision {
			next.byKey[key] = pr
		}
	}
	for _, st := range records {
		old, ok := se.byKey[st.Key]
		switch {
		case ok && (old.stored.ModRevision > revision || bytes.Equal(old.stored.Value, st.Value)):
			if old.stored.ModRevision.Era() < revision.Era() {
				old.stored.ModRevision = st.ModRevision
			}
			next.byKey[st.Key] = old
		default:
			next.byKey[st.Key] = parseStored(st)
		}
	}
	next.retain(se.earlierThan(revision.Era()))
	next.rememberRemoved(se)
	next.buildIndexes(buildAll)
	return next
}

// WithBridge returns the set after a complete copy of the records of a peer whose build
// translates in a lower form. Kinds of records that it does not know may be out of date there.
func (se *Set) WithBridge(form Form, revision store.Revision, records []StoredRecord) *Set {
	known := slices.DeleteFunc(slices.Clone(records), func(st StoredRecord) bool {
		ki := kindOfKey(st.Key)
		return form < formOfCallerKeys && ki == KindCallerKeys || form < formOfEvacuations && ki == KindEvacuation
	})
	next := se.WithSnapshot(revision, known)
	next.Form = form
	return next
}

// Live returns, in stored form, the records that are not deleted, ordered as by
// ChangedAfter. It includes records that cannot be used.
func (se *Set) Live() []StoredRecord {
	return slices.DeleteFunc(se.ChangedAfter(0), func(st StoredRecord) bool { return se.byKey[st.Key].deleted() })
}

// WithRecords returns the set that would result from writing records at the next
// revision. It is used to validate them before they are written.
func (se *Set) WithRecords(res []Record) *Set {
	sts := make([]StoredRecord, len(res))
	for i, re := range res {
		sts[i] = StoredRecord{Key: re.Key(), Value: re.JSON, ModRevision: se.Revision + 1}
	}
	return se.WithChanges(se.Revision+1, sts)
}

// ChangedAfter returns the records changed after a revision, deleted ones included,
// ordered by ModRevision and then by key.
func (se *Set) ChangedAfter(revision store.Revision) []StoredRecord {
	var out []StoredRecord
	for key, pr := range se.byKey {
		if pr.stored.ModRevision > revision {
			out = append(out, StoredRecord{Key: key, Value: pr.stored.Value, ModRevision: pr.stored.ModRevision})
		}
	}
	slices.SortFunc(out, func(a, b StoredRecord) int {
		if a.ModRevision != b.ModRevision {
			return int(a.ModRevision - b.ModRevision)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return out
}

// Record returns a record and the revision of its last change. The boolean is false
// if the record does not exist, is deleted or has an envelope that cannot be
// parsed; the revision is 0 if it never existed.
func (se *Set) Record(ki Kind, id string) (Record, store.Revision, bool) {
	pr, ok := se.byKey[string(ki)+"/"+id]
	if !ok || pr.record.Record == nil || pr.record.GetDeleted() {
		return Record{}, pr.stored.ModRevision, false
	}
	return pr.record, pr.stored.ModRevision, true
}

// Records returns the records that are not deleted and whose envelope can be
// parsed, sorted by key.
func (se *Set) Records() []Record {
	var out []Record
	for _, pr := range se.byKey {
		if pr.record.Record != nil && !pr.record.GetDeleted() {
			out = append(out, pr.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Key(), b.Key()) })
	return out
}

// Contains reports whether the set holds the record with exactly the same text, as
// written in an era or a later one.
func (se *Set) Contains(re Record, era store.Era) bool {
	pr := se.byKey[re.Key()]
	return bytes.Equal(pr.stored.Value, re.JSON) && pr.stored.ModRevision.Era() >= era
}

// IDs returns the sorted ids of a kind's records that are not deleted, whether or
// not they can be used.
func (se *Set) IDs(ki Kind) []string {
	var out []string
	for key, pr := range se.byKey {
		id, ok := strings.CutPrefix(key, string(ki)+"/")
		if ok && (pr.record.Record == nil || !pr.record.GetDeleted()) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Len returns the number of records, deleted ones included.
func (se *Set) Len() int { return len(se.byKey) }

// OrganisationByKey returns the organisation to which a caller's key belongs.
func (se *Set) OrganisationByKey(key string) (Organisation, bool) {
	id, ok := se.byCallerKey[HashKey(key)]
	if !ok {
		id, ok = se.ownerOfFurtherKey(key)
	}
	if !ok {
		return Organisation{}, false
	}
	return se.Organisations.ByID(id)
}

// KeysRequired reports whether routed requests need a caller's key, except on public routes:
// if the configuration says so or has an organisation, even one that cannot be used.
func (se *Set) KeysRequired() bool { return se.hasOrganisation || se.SiteLimits().KeysRequired }

// ownerOfFurtherKey returns the organisation to which a key belongs that is not in the
// organisation's own record.
func (se *Set) ownerOfFurtherKey(key string) (OrganisationID, bool) {
	for _, id := range se.CallerKeys.ids {
		if se.CallerKeys.byID[id].Contains(key) {
			return id, true
		}
	}
	return "", false
}

// OperatorByKey returns the operator to which a key belongs.
func (se *Set) OperatorByKey(key string) (Operator, bool) {
	id, ok := se.byOperatorKey[HashKey(key)]
	if !ok {
		return Operator{}, false
	}
	return se.Operators.ByID(id)
}

// ActiveRollout returns the running or paused roll-out of a model.
func (se *Set) ActiveRollout(id ModelID) (Rollout, bool) {
	for _, ro := range se.Rollouts.List() {
		if ro.Model == string(id) && ro.Active() {
			return ro, true
		}
	}
	return Rollout{}, false
}

// RankOrDefault returns the rank with an id. If the id is empty, it returns the
// least urgent rank that the organisation may use. It does not check that the
// organisation may use a rank that is given by id.
func (se *Set) RankOrDefault(or Organisation, id RankID) (Rank, bool) {
	if id != "" {
		return se.Ranks.ByID(id)
	}
	var best Rank
	for _, ra := range se.Ranks.List() {
		if or.AllowsRank(ra.ID) && (best.Rank == nil || ra.Order > best.Order) {
			best = ra
		}
	}
	return best, best.Rank != nil
}

// Validate returns the findings of the records that Records returns, including
// references to records that do not exist. place returns the place to report for a
// record's key.
func (se *Set) Validate(place func(key string) finding.Place) finding.List {
	var li finding.List
	for _, re := range se.Records() {
		pr := se.byKey[re.Key()]
		pl := place(re.Key())
		re.validateID(&li, pl)
		for _, fi := range pr.findings {
			li.Add(finding.Place{File: pl.File, Section: pl.Section, Key: fi.Place.Key}, "%s", fi.Message)
		}
		if va, ok := pr.value.(validator); ok {
			va.Validate(&li, pl, se)
		}
	}
	return li
}

// validator is implemented by the types of all kinds of records.
type validator interface {
	// Defaults sets the defaults of fields that are not set, in the message that
	// the value embeds. It is called once, before the set is used.
	Defaults()
	// Validate adds a finding to li for each mistake in the spec. pl is the place
	// of the record; se is the set in which the records that it refers to must
	// exist.
	Validate(li *finding.List, pl finding.Place, se *Set)
}

// isCallable reports whether a caller may give an id as the model of a chat
// request: it is the id of a model, a version or a cascade.
func (se *Set) isCallable(id string) bool {
	_, model := se.Models.ByID(ModelID(id))
	_, version := se.Versions.ByID(VersionID(id))
	_, cascade := se.Cascades.ByID(CascadeID(id))
	return model || version || cascade
}
