package policy

import (
	"cmp"
	"slices"
	"strings"
)

// kindOfKey returns the kind in a record's key, kind/id.
func kindOfKey(key string) Kind {
	ki, _, _ := strings.Cut(key, "/")
	return Kind(ki)
}

// buildAll makes buildIndexes build all tables.
func buildAll(Kind) *Set { return nil }

// buildIndexes fills the tables, the indexes and Findings from byKey. It is called once for each
// new set. reuse returns a set with the same records of a kind, whose table serves both, or nil.
// The empty set has no table yet.
func (se *Set) buildIndexes(reuse func(ki Kind) *Set) {
	same := map[Kind]*Set{}
	for _, ki := range kinds {
		if from := reuse(ki); from != nil && from.built {
			same[ki] = from
		}
	}
	for key, pr := range se.byKey {
		se.Findings = append(se.Findings, pr.findings...)
		ki := kindOfKey(key)
		if same[ki] == nil {
			se.addTyped(pr.value)
		}
		se.hasOrganisation = se.hasOrganisation || ki == KindOrganisation && !pr.deleted()
	}
	finishTable(&se.Organisations, same[KindOrganisation], func(from *Set) *Table[OrganisationID, Organisation] { return &from.Organisations })
	finishTable(&se.CallerKeys, same[KindCallerKeys], func(from *Set) *Table[OrganisationID, CallerKeys] { return &from.CallerKeys })
	finishTable(&se.Operators, same[KindOperator], func(from *Set) *Table[OperatorID, Operator] { return &from.Operators })
	finishTable(&se.Models, same[KindModel], func(from *Set) *Table[ModelID, Model] { return &from.Models })
	finishTable(&se.Versions, same[KindVersion], func(from *Set) *Table[VersionID, Version] { return &from.Versions })
	finishTable(&se.Cascades, same[KindCascade], func(from *Set) *Table[CascadeID, Cascade] { return &from.Cascades })
	finishTable(&se.Ranks, same[KindRank], func(from *Set) *Table[RankID, Rank] { return &from.Ranks })
	finishTable(&se.Endpoints, same[KindEndpoint], func(from *Set) *Table[EndpointID, Endpoint] { return &from.Endpoints })
	finishTable(&se.Services, same[KindService], func(from *Set) *Table[ServiceID, Service] { return &from.Services })
	finishTable(&se.Rollouts, same[KindRollout], func(from *Set) *Table[RolloutID, Rollout] { return &from.Rollouts })
	finishTable(&se.Routes, same[KindRoute], func(from *Set) *Table[RouteID, Route] { return &from.Routes })
	finishTable(&se.Limits, same[KindLimits], func(from *Set) *Table[LimitsID, Limits] { return &from.Limits })
	finishTable(&se.Quarantines, same[KindQuarantine], func(from *Set) *Table[QuarantineID, Quarantine] { return &from.Quarantines })
	finishTable(&se.Evacuations, same[KindEvacuation], func(from *Set) *Table[FailureDomain, Evacuation] { return &from.Evacuations })
	se.indexKeys(same[KindOrganisation], same[KindOperator])
	if from := same[KindRoute]; from != nil {
		se.byHost = from.byHost
	} else {
		se.byHost = routesByHost(se.Routes.List())
	}
	if from := same[KindEndpoint]; from != nil {
		se.coldEndpoints = from.coldEndpoints
	} else {
		se.coldEndpoints = coldAmong(se.Endpoints.List())
	}
	se.Retained = se.retainedDigest()
	se.built = true
}

// coldAmong returns the endpoints that are cold by their records.
func coldAmong(ens []Endpoint) []Endpoint {
	return slices.DeleteFunc(ens, func(en Endpoint) bool { return en.ColdRemainingMs <= 0 })
}

// finishTable completes a table: it is that of another set, if that one has the same records, and
// is sorted otherwise.
func finishTable[K cmp.Ordered, V any](ta *Table[K, V], from *Set, of func(from *Set) *Table[K, V]) {
	if from != nil {
		*ta = *of(from)
		return
	}
	ta.sortIDs()
}

// indexKeys fills the indexes of keys, or takes them from sets with the same organisations or
// operators.
func (se *Set) indexKeys(organisations, operators *Set) {
	if organisations != nil {
		se.byCallerKey = organisations.byCallerKey
	} else {
		se.byCallerKey = map[string]OrganisationID{}
		for _, or := range se.Organisations.List() {
			// Of organisations with the same key the last one has it, on every VM.
			for _, ha := range or.KeyHashes {
				se.byCallerKey[ha] = or.ID
			}
		}
	}
	if operators != nil {
		se.byOperatorKey = operators.byOperatorKey
		return
	}
	se.byOperatorKey = map[string]OperatorID{}
	for _, op := range se.Operators.List() {
		for _, ha := range op.KeyHashes {
			se.byOperatorKey[ha] = op.ID
		}
	}
}

// addTyped adds a typed record to the table of its kind. It ignores nil.
func (se *Set) addTyped(value any) {
	switch va := value.(type) {
	case Organisation:
		se.Organisations.add(va.ID, va)
	case CallerKeys:
		se.CallerKeys.add(va.ID, va)
	case Operator:
		se.Operators.add(va.ID, va)
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
	case Quarantine:
		se.Quarantines.add(va.ID, va)
	case Evacuation:
		se.Evacuations.add(va.ID, va)
	}
}
