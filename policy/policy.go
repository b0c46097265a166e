// Package policy holds the operators' policy records: their types, their
// rules, and the immutable Set of all records at one revision.
//
// A record is a JSON object with the fields of rpc.Record and a "spec" whose
// fields are those of the message of its kind. Each record carries a schema
// version; records of versions 1 and 2 stand side by side.
package policy

import (
	"cmp"
	"maps"
	"slices"
)

// SchemaVersion is the newest schema version that this program knows.
const SchemaVersion = 2

// Kind names a kind of record.
type Kind string

// The kinds of records.
const (
	KindOrganisation Kind = "organisation"
	KindOperator     Kind = "operator"
	KindModel        Kind = "model"
	KindVersion      Kind = "version"
	KindCascade      Kind = "cascade"
	KindRank         Kind = "rank"
	KindEndpoint     Kind = "endpoint"
	KindService      Kind = "service"
	KindRollout      Kind = "rollout"
	KindRoute        Kind = "route"
	KindLimits       Kind = "limits"
)

// The ids of records, each unique within its kind.
type (
	// OrganisationID names an organisation.
	OrganisationID string
	// OperatorID names an operator.
	OperatorID string
	// ModelID names a model.
	ModelID string
	// VersionID names a version of a model.
	VersionID string
	// CascadeID names a cascade.
	CascadeID string
	// RankID names a rank.
	RankID string
	// EndpointID names an endpoint.
	EndpointID string
	// ServiceID names a plain service.
	ServiceID string
	// RolloutID names a roll-out.
	RolloutID string
	// RouteID names a route.
	RouteID string
	// LimitsID names the limits; the site's is LimitsSite.
	LimitsID string
	// ReleaseID names a version of the software that endpoints run.
	ReleaseID string
)

// FailureDomain is a part of a site that fails as one.
type FailureDomain string

// Table holds the records of one kind by id.
type Table[K cmp.Ordered, V any] struct {
	byID map[K]V
	ids  []K
}

// ByID gives the record with an id.
func (ta *Table[K, V]) ByID(id K) (V, bool) {
	va, ok := ta.byID[id]
	return va, ok
}

// List gives the records in the order of their ids.
func (ta *Table[K, V]) List() []V {
	out := make([]V, len(ta.ids))
	for i, id := range ta.ids {
		out[i] = ta.byID[id]
	}
	return out
}

// Len counts the records.
func (ta *Table[K, V]) Len() int { return len(ta.ids) }

func (ta *Table[K, V]) add(id K, va V) {
	if ta.byID == nil {
		ta.byID = map[K]V{}
	}
	ta.byID[id] = va
}

func (ta *Table[K, V]) sortIDs() {
	ta.ids = slices.Sorted(maps.Keys(ta.byID))
}
