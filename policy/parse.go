package policy

import (
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// parseEntry reads a stored record. One that cannot be used has faults and no
// value: it counts as absent, which refuses work and never allows more.
func parseEntry(st StoredRecord) entry {
	en := entry{stored: store.KeyValue{Key: store.Key(st.Key), Value: st.Value, ModRevision: st.ModRevision}}
	pl := finding.Place{Section: st.Key}
	re, err := ParseRecord(st.Value)
	if err != nil {
		en.faults.Add(pl, "%v", err)
		return en
	}
	en.record = re
	if re.GetDeleted() {
		return en
	}
	if re.Key() != st.Key {
		en.faults.Add(pl, "record calls itself %q", re.Key())
		return en
	}
	if !re.checkEnvelope(&en.faults, pl) {
		return en
	}
	ms := re.parseSpec(&en.faults, pl)
	if ms == nil {
		return en
	}
	va := typed(re, ms)
	va.Defaults()
	en.value = va
	return en
}

func typed(re Record, ms any) validator {
	id := re.GetId()
	switch sp := ms.(type) {
	case *rpc.Organisation:
		return Organisation{ID: OrganisationID(id), Organisation: sp}
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
	default:
		return Rollout{ID: RolloutID(id), Rollout: ms.(*rpc.Rollout), FencingToken: re.GetFencingToken()}
	}
}
