package policy

import (
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// parseStored parses a stored record. A record that cannot be used has findings and
// no value, and counts as absent: a missing record can deny work but cannot permit
// any. A deleted record has neither findings nor a value.
func parseStored(st StoredRecord) parsedRecord {
	pr := parsedRecord{stored: store.KeyValue{Key: store.Key(st.Key), Value: st.Value, ModRevision: st.ModRevision}}
	pl := finding.Place{Section: st.Key}
	re, err := st.record()
	if err != nil {
		pr.findings.Add(pl, "%v", err)
		return pr
	}
	pr.record = Record{Record: re.Record, JSON: re.JSON}
	if re.GetDeleted() {
		return pr
	}
	if re.Key() != st.Key {
		pr.findings.Add(pl, "kind and id give the key %q, not the key under which the record is stored", re.Key())
		return pr
	}
	if !re.validateEnvelope(&pr.findings, pl) {
		return pr
	}
	ms := re.spec
	if ms == nil {
		ms = re.parseSpec(&pr.findings, pl)
	}
	if ms == nil {
		return pr
	}
	va := newTyped(re, ms)
	va.Defaults()
	pr.value = va
	pr.written = writeOrderOf(pr)
	return pr
}

// record returns the record with its parsed envelope.
func (st StoredRecord) record() (Record, error) {
	if st.made.Record != nil {
		return st.made, nil
	}
	return ParseRecord(st.Value)
}

// IsTombstone reports whether the record is that of a deletion.
func (st StoredRecord) IsTombstone() bool {
	re, err := st.record()
	return err == nil && re.GetDeleted()
}

// deleted reports whether the record is a tombstone.
func (pr parsedRecord) deleted() bool { return pr.record.Record != nil && pr.record.GetDeleted() }

// newTyped returns the record's typed value, for example an Organisation. ms is the
// spec that parseSpec returned for the record.
func newTyped(re Record, ms any) validator {
	id := re.GetId()
	switch sp := ms.(type) {
	case *rpc.Organisation:
		return Organisation{ID: OrganisationID(id), Organisation: sp}
	case *rpc.CallerKeys:
		return CallerKeys{ID: OrganisationID(id), CallerKeys: sp}
	case *rpc.Operator:
		return Operator{ID: OperatorID(id), Operator: sp}
	case *rpc.Model:
		return Model{ID: ModelID(id), Model: sp}
	case *rpc.Version:
		return Version{ID: VersionID(id), Version: sp}
	case *rpc.Cascade:
		return Cascade{ID: CascadeID(id), Cascade: sp}
	case *rpc.Rank:
		return Rank{ID: RankID(id), Rank: sp}
	case *rpc.Endpoint:
		return Endpoint{ID: EndpointID(id), Endpoint: sp}
	case *rpc.Service:
		return Service{ID: ServiceID(id), Service: sp}
	case *rpc.Route:
		return Route{ID: RouteID(id), Route: sp}
	case *rpc.Limits:
		return Limits{ID: LimitsID(id), Limits: sp}
	case *rpc.Quarantine:
		return Quarantine{ID: QuarantineID(id), Quarantine: sp}
	case *rpc.Evacuation:
		return Evacuation{ID: FailureDomain(id), Evacuation: sp}
	default:
		return Rollout{ID: RolloutID(id), Rollout: ms.(*rpc.Rollout), FencingToken: re.GetFencingToken()}
	}
}
