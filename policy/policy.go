// Package policy defines the operators' policy records: their types, defaults and
// validation, and the immutable Set of all records at one revision.
//
// A record is a JSON object with an envelope, which has the fields of rpc.Record,
// and a "spec", whose fields are those of the protobuf message of its kind. Each
// record has a schema version. A Set may mix records of all versions, also of later
// ones than SchemaVersion, but does not use a record whose min_reader is later.
package policy

import (
	"cmp"
	"maps"
	"slices"

	"tanagerpoint.example/tanager/quantity"
)

// SchemaVersion is the newest schema version that this program supports.
const SchemaVersion = 2

// Form numbers the forms in which builds translate the values of a store to records. A build
// of a lower form leaves out what it cannot represent.
type Form int64

// NewestForm is the form in which this build translates. Since form 1 an id may be any text
// and a record may be larger than 256 KiB, since form 2 a number of a configuration may be any.
// Since form 3 there are evacuations, and records say how long endpoints are cold.
const NewestForm Form = 3

// formOfCallerKeys is the first form with records of KindCallerKeys.
const formOfCallerKeys Form = 1

// formOfEvacuations is the first form with records of KindEvacuation.
const formOfEvacuations Form = 3

// shareBounds are those of a share of a whole, or of a quality.
var shareBounds = quantity.Bounds[float64]{Min: 0, Max: 1}

// Kind names a kind of record.
type Kind string

// The kinds of records.
const (
	KindOrganisation Kind = "organisation"
	KindCallerKeys   Kind = "caller_keys"
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
	KindQuarantine   Kind = "quarantine"
	KindEvacuation   Kind = "evacuation"
)

// kinds are all kinds of records.
var kinds = []Kind{
	KindOrganisation, KindCallerKeys, KindOperator, KindModel, KindVersion, KindCascade, KindRank, KindEndpoint, KindService, KindRollout,
	KindRoute, KindLimits, KindQuarantine, KindEvacuation,
}

// The ids of records, each unique within its kind, and of releases and prompt parts,
// which have no records.
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
	// ServiceID names a service, plain or of model engines.
	ServiceID string
	// RolloutID names a roll-out.
	RolloutID string
	// RouteID names a route.
	RouteID string
	// LimitsID names a record of limits; only LimitsSite is used.
	LimitsID string
	// QuarantineID names the quarantine of a prompt part, see QuarantineIDOf.
	QuarantineID string
	// ReleaseID names a release of the software that endpoints run.
	ReleaseID string
	// Fingerprint identifies a request by its caller, method, host, target and body. It is
	// the same when the request comes again unchanged.
	Fingerprint string
	// PromptPartID identifies a part of a prompt; equal parts have equal ids.
	PromptPartID string
)

// FailureDomain names a part of a site that can fail as a whole.
type FailureDomain string

// Table holds the records of one kind that can be used, by id.
type Table[K cmp.Ordered, V any] struct {
	byID map[K]V
	ids  []K
}

// ByID returns the record with an id, and whether it exists.
func (ta *Table[K, V]) ByID(id K) (V, bool) {
	va, ok := ta.byID[id]
	return va, ok
}

// List returns the records, sorted by id.
func (ta *Table[K, V]) List() []V {
	out := make([]V, len(ta.ids))
	for i, id := range ta.ids {
		out[i] = ta.byID[id]
	}
	return out
}

// Len returns the number of records.
func (ta *Table[K, V]) Len() int { return len(ta.ids) }

func (ta *Table[K, V]) add(id K, va V) {
	if ta.byID == nil {
		ta.byID = map[K]V{}
	}
	ta.byID[id] = va
}

// sortIDs sorts the ids for List. It is called once, after the last add.
func (ta *Table[K, V]) sortIDs() {
	ta.ids = slices.Sorted(maps.Keys(ta.byID))
}
