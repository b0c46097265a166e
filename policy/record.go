package policy

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// maxRecordBytes is the largest size of a record's JSON text. A platform's value of 1 MiB
// may grow to six times that where its characters are escaped.
const maxRecordBytes = 8 << 20

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._@:-]{0,62}$`)

// IsID reports whether operators may give a text to a record as its id. The ids of records
// that are translated from a platform's values may be any text.
func IsID(text string) bool { return idPattern.MatchString(text) }

// Record is one policy record.
type Record struct {
	// Record is the parsed envelope.
	*rpc.Record
	// JSON is the complete text in compact form, the spec and the fields unknown to
	// this program included.
	JSON []byte
	// spec is the parsed spec of a record that NewRecord has made, nil for others.
	spec proto.Message
}

// ParseRecord parses a record's envelope. It does not parse or validate the spec.
func ParseRecord(text []byte) (Record, error) {
	if len(text) > maxRecordBytes {
		return Record{}, eris.Errorf("record is larger than %d bytes", maxRecordBytes)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return Record{}, eris.Errorf("invalid JSON: %v", err)
	}
	if !gjson.ParseBytes(compact.Bytes()).IsObject() {
		return Record{}, eris.New("record is not a JSON object")
	}
	ms := &rpc.Record{}
	op := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := op.Unmarshal(compact.Bytes(), ms); err != nil {
		return Record{}, eris.Errorf("envelope: %v", err)
	}
	return Record{Record: ms, JSON: compact.Bytes()}, nil
}

// NewRecord returns a record of the newest schema version with the given spec, which belongs to
// the record from then on. The same spec always gives the same text.
func NewRecord(ki Kind, id string, spec proto.Message) (Record, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(spec)
	if err != nil {
		return Record{}, eris.Wrap(err, "policy.NewRecord")
	}
	re, err := newRecord(recordJSON{SchemaVersion: schemaVersionOf(spec), Kind: ki, ID: id, Spec: text})
	re.spec = spec
	return re, err
}

// schemaVersionOf returns the schema version of a record with a spec. It is later than
// SchemaVersion if programs of SchemaVersion may lack one of its fields, which they then ignore.
func schemaVersionOf(spec proto.Message) int64 {
	later := false
	switch sp := spec.(type) {
	case *rpc.Limits:
		later = sp.GetKeysRequired()
	case *rpc.Endpoint:
		later = sp.GetColdRemainingMs() > 0
	case *rpc.Rollout:
		later = len(sp.GetWithdrawnVersions()) > 0
	case *rpc.Service:
		later = sp.GetColdPerSecond() > 0
	}
	if later {
		return SchemaVersion + 1
	}
	return SchemaVersion
}

// NewTombstone returns the record that replaces a deleted one.
func NewTombstone(ki Kind, id string) (Record, error) {
	return newRecord(recordJSON{SchemaVersion: SchemaVersion, Kind: ki, ID: id, Deleted: true})
}

// recordJSON is the JSON form of a record that this package creates.
type recordJSON struct {
	SchemaVersion int64           `json:"schema_version"`
	Kind          Kind            `json:"kind"`
	ID            string          `json:"id"`
	Deleted       bool            `json:"deleted,omitempty"`
	Spec          json.RawMessage `json:"spec,omitempty"`
}

func newRecord(rj recordJSON) (Record, error) {
	// Marshal removes the white space in the spec, which protojson writes differently
	// from build to build.
	text, err := json.Marshal(rj)
	if err != nil {
		return Record{}, eris.Wrap(err, "policy.newRecord")
	}
	if len(text) > maxRecordBytes {
		return Record{}, eris.Errorf("record is larger than %d bytes", maxRecordBytes)
	}
	return Record{JSON: text, Record: &rpc.Record{SchemaVersion: rj.SchemaVersion, Kind: string(rj.Kind), Id: rj.ID, Deleted: rj.Deleted}}, nil
}

// Stored returns the record in its stored form, as changed at a revision. A set does not parse it
// again.
func (re Record) Stored(revision store.Revision) StoredRecord {
	return StoredRecord{Key: re.Key(), Value: re.JSON, ModRevision: revision, made: re}
}

// Key returns the record's key, kind/id, which is unique among all records.
func (re Record) Key() string { return re.GetKind() + "/" + re.GetId() }

// Spec returns the JSON text of the spec, or "{}" if there is none.
func (re Record) Spec() []byte {
	if sp := gjson.GetBytes(re.JSON, "spec"); sp.IsObject() {
		return []byte(sp.Raw)
	}
	return []byte("{}")
}

// WithField returns a copy with one field set. path is the field's path in the
// JSON, for example spec.state. Fields unknown to this program are kept.
func (re Record) WithField(path string, value any) (Record, error) {
	text, err := sjson.SetBytes(bytes.Clone(re.JSON), path, value)
	if err != nil {
		return Record{}, eris.Wrap(err, "Record.WithField")
	}
	return ParseRecord(text)
}

// WithSequence returns a copy whose sequence, the writer's own count of its writes, is set.
func (re Record) WithSequence(sequence int64) (Record, error) {
	if sequence == 0 {
		return re, nil
	}
	return re.WithField("sequence", sequence)
}

// Stamp is the part of the envelope that describes the last change: who made it,
// when, and as part of which operation.
type Stamp struct {
	ChangedBy   string
	OperationID string
	// ChangedAtMS is in Unix milliseconds.
	ChangedAtMS int64
	// FencingToken is that of the steward that made the change, 0 for an operator's
	// change.
	FencingToken int64
}

// WithStamp returns a copy whose stamp fields are set to st.
func (re Record) WithStamp(st Stamp) (Record, error) {
	for _, fi := range []struct {
		path  string
		value any
	}{
		{"changed_by", st.ChangedBy},
		{"operation_id", st.OperationID},
		{"changed_at_ms", st.ChangedAtMS},
		{"fencing_token", st.FencingToken},
	} {
		var err error
		if re, err = re.WithField(fi.path, fi.value); err != nil {
			return Record{}, eris.Wrap(err, "Record.WithStamp")
		}
	}
	return re, nil
}

// SameContent reports whether two records are equal except for their stamps. The
// order of fields does not matter.
func (re Record) SameContent(other Record) bool {
	return bytes.Equal(re.unstampedJSON(), other.unstampedJSON())
}

// unstampedJSON returns the record's text without the stamp and with its fields
// sorted.
func (re Record) unstampedJSON() []byte {
	text := re.JSON
	for _, path := range []string{"changed_by", "operation_id", "changed_at_ms", "fencing_token"} {
		text, _ = sjson.DeleteBytes(bytes.Clone(text), path)
	}
	var va any
	if json.Unmarshal(text, &va) != nil {
		return text
	}
	// Marshal sorts the fields of a map.
	out, _ := json.Marshal(va)
	return out
}

// validateEnvelope adds a finding to li for each mistake in the envelope, and
// reports whether there was none.
func (re Record) validateEnvelope(li *finding.List, pl finding.Place) bool {
	before := len(*li)
	at := func(key string) finding.Place { pl.Key = key; return pl }
	if re.GetSchemaVersion() < 1 {
		li.Add(at("schema_version"), "missing")
	}
	if re.GetMinReader() > SchemaVersion {
		li.Add(at("min_reader"), "record requires schema version %d, but this program supports up to %d", re.GetMinReader(), SchemaVersion)
	}
	if newSpec(Kind(re.GetKind())) == nil {
		li.Add(at("kind"), "unknown kind %q", re.GetKind())
	}
	return len(*li) == before
}

// validateID adds a finding to li if operators may not give the record its id.
func (re Record) validateID(li *finding.List, pl finding.Place) {
	if !IsID(re.GetId()) {
		pl.Key = "id"
		li.Add(pl, "%q is not an id: lower-case letters, digits and ._@:- only, 63 at most", re.GetId())
	}
}

// newSpec returns an empty spec message of a kind, or nil if the kind is unknown.
func newSpec(ki Kind) proto.Message {
	switch ki {
	case KindOrganisation:
		return &rpc.Organisation{}
	case KindCallerKeys:
		return &rpc.CallerKeys{}
	case KindOperator:
		return &rpc.Operator{}
	case KindModel:
		return &rpc.Model{}
	case KindVersion:
		return &rpc.Version{}
	case KindCascade:
		return &rpc.Cascade{}
	case KindRank:
		return &rpc.Rank{}
	case KindEndpoint:
		return &rpc.Endpoint{}
	case KindService:
		return &rpc.Service{}
	case KindRollout:
		return &rpc.Rollout{}
	case KindRoute:
		return &rpc.Route{}
	case KindLimits:
		return &rpc.Limits{}
	case KindQuarantine:
		return &rpc.Quarantine{}
	case KindEvacuation:
		return &rpc.Evacuation{}
	}
	return nil
}

// parseSpec parses the spec. It adds a finding to li and returns nil if that fails.
// A field unknown to this program is an error in a record whose schema version it
// supports, and is ignored in a record of a later version.
func (re Record) parseSpec(li *finding.List, pl finding.Place) proto.Message {
	ms := newSpec(Kind(re.GetKind()))
	op := protojson.UnmarshalOptions{DiscardUnknown: re.GetSchemaVersion() > SchemaVersion}
	if err := op.Unmarshal(re.Spec(), ms); err != nil {
		// The errors of protobuf begin with "proto:" and, depending on the build, a
		// space or a non-breaking space.
		text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
		li.Add(pl, "spec: %s", strings.TrimPrefix(text, "proto: "))
		return nil
	}
	return ms
}

// withoutField returns a copy without the field at path.
func (re Record) withoutField(path string) (Record, error) {
	text, err := sjson.DeleteBytes(bytes.Clone(re.JSON), path)
	if err != nil {
		return Record{}, eris.Wrap(err, "Record.withoutField")
	}
	return ParseRecord(text)
}
