package policy

import (
	"bytes"
	"slices"
	"strings"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/store"
)

// Set is all policy records at one revision. It is immutable, and a function
// of the stored records alone, so daemons at one revision agree.
type Set struct {
	Revision store.Revision
	// SnapshotRevision is the revision from which on removed records are remembered: what
	// was removed before is not there at all.
	SnapshotRevision store.Revision
	byKey            map[string]parsedRecord

	Organisations Table[OrganisationID, Organisation]
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

	// Findings are records that this program cannot use; they count as absent.
	Findings finding.List

	byCallerKey   map[string]OrganisationID
	byOperatorKey map[string]OperatorID
	// byHost lists each host's routes, longest prefix first.
	byHost map[string][]Route
}

// parsedRecord is one record as stored, with what it parsed to.
type parsedRecord struct {
	stored   store.KeyValue
	record   Record
	value    any
	findings finding.List
}

// StoredRecord is one record as it lies in the store; Key is relative to the prefix
// of all records.
type StoredRecord struct {
	Key         string
	Value       []byte
	ModRevision store.Revision
}

// NewSet gives an empty set.
func NewSet() *Set { return (&Set{}).WithChanges(0, nil) }

// WithChanges gives the set after changes that brought it to a revision. Changes that
// are not newer than what the set has are passed over.
func (se *Set) WithChanges(revision store.Revision, changes []StoredRecord) *Set {
	next := &Set{Revision: max(se.Revision, revision), SnapshotRevision: se.SnapshotRevision, byKey: make(map[string]parsedRecord, len(se.byKey)+len(changes))}
	for key, pr := range se.byKey {
		next.byKey[key] = pr
	}
	for _, st := range changes {
		if old, ok := next.byKey[st.Key]; ok && old.stored.ModRevision >= st.ModRevision {
			continue
		}
		next.byKey[st.Key] = parseStored(st)
		next.Revision = max(next.Revision, st.ModRevision)
	}
	next.buildIndexes()
	return next
}

// WithSnapshot gives the set as a complete read at a revision found it: records
// that the read lacks are gone, unless they are newer.
func (se *Set) WithSnapshot(revision store.Revision, records []StoredRecord) *Set {
	next := &Set{Revision: revision, SnapshotRevision: revision, byKey: make(map[string]parsedRecord, len(records))}
	for key, pr := range se.byKey {
		if pr.stored.ModRevision > revision {
			next.byKey[key] = pr
		}
	}
	for _, st := range records {
		old, ok := se.byKey[st.Key]
		switch {
		case ok && (old.stored.ModRevision > revision || bytes.Equal(old.stored.Value, st.Value)):
			next.byKey[st.Key] = old
		default:
			next.byKey[st.Key] = parseStored(st)
		}
	}
	next.buildIndexes()
	return next
}

// Live lists the records that are not deleted, as they lie in the store.
func (se *Set) Live() []StoredRecord {
	return slices.DeleteFunc(se.ChangedAfter(0), func(st StoredRecord) bool {
		re := se.byKey[st.Key].record.Record
		return re != nil && re.GetDeleted()
	})
}

// WithRecords gives the set as it would be with records written at the next
// revision, to be validated before they are.
func (se *Set) WithRecords(res []Record) *Set {
	sts := make([]StoredRecord, len(res))
	for i, re := range res {
		sts[i] = StoredRecord{Key: re.Key(), Value: re.JSON, ModRevision: se.Revision + 1}
	}
	return se.WithChanges(se.Revision+1, sts)
}

// ChangedAfter lists the records changed after a revision, oldest first.
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

// Record gives a record that is not deleted, with the revision of its last
// change.
func (se *Set) Record(ki Kind, id string) (Record, store.Revision, bool) {
	pr, ok := se.byKey[string(ki)+"/"+id]
	if !ok || pr.record.Record == nil || pr.record.GetDeleted() {
		return Record{}, pr.stored.ModRevision, false
	}
	return pr.record, pr.stored.ModRevision, true
}

// Records lists the records that are not deleted, by key.
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

// Contains tells whether a record's text is the one stored.
func (se *Set) Contains(re Record) bool {
	return bytes.Equal(se.byKey[re.Key()].stored.Value, re.JSON)
}

// IDs lists the records of a kind that are not deleted, usable or not.
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

// Len counts the records, deleted ones included.
func (se *Set) Len() int { return len(se.byKey) }

// OrganisationByKey gives the organisation of a caller's key.
func (se *Set) OrganisationByKey(key string) (Organisation, bool) {
	id, ok := se.byCallerKey[HashKey(key)]
	if !ok {
		return Organisation{}, false
	}
	return se.Organisations.ByID(id)
}

// OperatorByKey gives the operator of a key.
func (se *Set) OperatorByKey(key string) (Operator, bool) {
	id, ok := se.byOperatorKey[HashKey(key)]
	if !ok {
		return Operator{}, false
	}
	return se.Operators.ByID(id)
}

// ActiveRollout gives the roll-out under way for a model.
func (se *Set) ActiveRollout(id ModelID) (Rollout, bool) {
	for _, ro := range se.Rollouts.List() {
		if ro.Model == string(id) && ro.Active() {
			return ro, true
		}
	}
	return Rollout{}, false
}

// RankOrDefault gives the named rank. Without a name it is the least urgent
// that the organisation may use.
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

// Validate finds the mistakes of every record, and of references between them.
// place gives the place of a record's key.
func (se *Set) Validate(place func(key string) finding.Place) finding.List {
	var li finding.List
	for _, re := range se.Records() {
		pr := se.byKey[re.Key()]
		pl := place(re.Key())
		for _, fi := range pr.findings {
			li.Add(finding.Place{File: pl.File, Section: pl.Section, Key: fi.Place.Key}, "%s", fi.Message)
		}
		if va, ok := pr.value.(validator); ok {
			va.Validate(&li, pl, se)
		}
	}
	return li
}

// validator is what the types of all kinds have.
type validator interface {
	Defaults()
	Validate(li *finding.List, pl finding.Place, se *Set)
}

func (se *Set) isCallable(id string) bool {
	_, model := se.Models.ByID(ModelID(id))
	_, version := se.Versions.ByID(VersionID(id))
	_, cascade := se.Cascades.ByID(CascadeID(id))
	return model || version || cascade
}

func (se *Set) buildIndexes() {
	se.byCallerKey = map[string]OrganisationID{}
	se.byOperatorKey = map[string]OperatorID{}
	for _, pr := range se.byKey {
		se.Findings = append(se.Findings, pr.findings...)
		se.addTyped(pr.value)
	}
	se.Organisations.sortIDs()
	se.Operators.sortIDs()
	se.Models.sortIDs()
	se.Versions.sortIDs()
	se.Cascades.sortIDs()
	se.Ranks.sortIDs()
	se.Endpoints.sortIDs()
	se.Services.sortIDs()
	se.Rollouts.sortIDs()
	se.Routes.sortIDs()
	se.Limits.sortIDs()
	se.byHost = routesByHost(se.Routes.List())
}

func (se *Set) addTyped(value any) {
	switch va := value.(type) {
	case Organisation:
		se.Organisations.add(va.ID, va)
		for _, ha := range va.KeyHashes {
			se.byCallerKey[ha] = va.ID
		}
	case Operator:
		se.Operators.add(va.ID, va)
		for _, ha := range va.KeyHashes {
			se.byOperatorKey[ha] = va.ID
		}
	case Model:
		se.Models.add(va.ID, va)
	case Version:
		se.Versions.add(va.ID, va)
	case Cascade:
		se.Cascades.add(va.ID, va)
	case Rank:
		se.Ranks.add(va.ID, va)
	case Endpoint:
		se.Endpoints.add(va.ID, va)
	case Service:
		se.Services.add(va.ID, va)
	case Rollout:
		se.Rollouts.add(va.ID, va)
	case Route:
		se.Routes.add(va.ID, va)
	case Limits:
		se.Limits.add(va.ID, va)
	}
}
