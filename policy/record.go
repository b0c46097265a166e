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
)

// maxRecordBytes bounds one record.
const maxRecordBytes = 256 << 10

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._@:-]{0,62}$`)

// Record is one policy record. JSON is its whole text, unknown fields included.
type Record struct {
	*rpc.Record
	JSON []byte
}

// ParseRecord reads a record's envelope.
func ParseRecord(text []byte) (Record, error) {
	if len(text) > maxRecordBytes {
		return Record{}, eris.Errorf("record is larger than %d bytes", maxRecordBytes)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return Record{}, eris.Errorf("not JSON: %v", err)
	}
	if !gjson.ParseBytes(compact.Bytes()).IsObject() {
		return Record{}, eris.New("not a JSON object")
	}
	ms := &rpc.Record{}
	op := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := op.Unmarshal(compact.Bytes(), ms); err != nil {
		return Record{}, eris.Errorf("%v", err)
	}
	return Record{Record: ms, JSON: compact.Bytes()}, nil
}

// NewRecord gives the record of a spec. The same spec gives the same text.
func NewRecord(ki Kind, id string, spec proto.Message) (Record, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(spec)
	if err != nil {
		return Record{}, eris.Wrap(err, "policy.NewRecord")
	}
	return newRecord(recordJSON{SchemaVersion: SchemaVersion, Kind: ki, ID: id, Spec: text})
}

// NewTombstone gives the record that stands in place of a deleted one.
func NewTombstone(ki Kind, id string) (Record, error) {
	return newRecord(recordJSON{SchemaVersion: SchemaVersion, Kind: ki, ID: id, Deleted: true})
}

// recordJSON is the text of a record that is made here.
type recordJSON struct {
	SchemaVersion int64           `json:"schema_version"`
	Kind          Kind            `json:"kind"`
	ID            string          `json:"id"`
	Deleted       bool            `json:"deleted,omitempty"`
	Spec          json.RawMessage `json:"spec,omitempty"`
}

func newRecord(rt recordJSON) (Record, error) {
	// Marshal takes out the spaces of protojson, which differ from build to build.
	text, err := json.Marshal(rt)
	if err != nil {
		return Record{}, eris.Wrap(err, "policy.newRecord")
	}
	return ParseRecord(text)
}

// Key is the record's place among all records: kind/id.
func (re Record) Key() string { return re.GetKind() + "/" + re.GetId() }

// Spec gives the text of the spec, "{}" when there is none.
func (re Record) Spec() []byte {
	if sp := gjson.GetBytes(re.JSON, "spec"); sp.IsObject() {
		return []byte(sp.Raw)
	}
	return []byte("{}")
}

// WithField gives a copy with one field set; path is as in the JSON, for example
// spec.state. Fields that this program does not know are kept.
func (re Record) WithField(path string, value any) (Record, error) {
	text, err := sjson.SetBytes(bytes.Clone(re.JSON), path, value)
	if err != nil {
		return Record{}, eris.Wrap(err, "Record.With")
	}
	return ParseRecord(text)
}

// Stamp says who made a change, when, and under which id.
type Stamp struct {
	ChangedBy    string
	OperationID  string
	ChangedAtMS  int64
	FencingToken int64
}

// WithStamp gives a copy that carries a stamp.
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
			return Record{}, eris.Wrap(err, "Record.Stamped")
		}
	}
	return re, nil
}

// SameContent tells whether two records differ in nothing but their stamps.
func (re Record) SameContent(other Record) bool {
	return bytes.Equal(re.unstampedJSON(), other.unstampedJSON())
}

func (re Record) unstampedJSON() []byte {
	text := re.JSON
	for _, path := range []string{"changed_by", "operation_id", "changed_at_ms", "fencing_token"} {
		text, _ = sjson.DeleteBytes(bytes.Clone(text), path)
	}
	var va any
	if json.Unmarshal(text, &va) != nil {
		return text
	}
	// Marshal orders the fields.
	out, _ := json.Marshal(va)
	return out
}

// validateEnvelope finds mistakes in what every record has.
func (re Record) validateEnvelope(li *finding.List, pl finding.Place) bool {
	before := len(*li)
	at := func(key string) finding.Place { pl.Key = key; return pl }
	if re.GetSchemaVersion() < 1 {
		li.Add(at("schema_version"), "missing")
	}
	if re.GetMinReader() > SchemaVersion {
		li.Add(at("min_reader"), "needs schema version %d, this program knows %d", re.GetMinReader(), SchemaVersion)
	}
	if newSpec(Kind(re.GetKind())) == nil {
		li.Add(at("kind"), "unknown kind %q", re.GetKind())
	}
	if !idPattern.MatchString(re.GetId()) {
		li.Add(at("id"), "%q is not an id: lower-case letters, digits and ._@:- only, 63 at most", re.GetId())
	}
	return len(*li) == before
}

func newSpec(ki Kind) proto.Message {
	switch ki {
	case KindOrganisation:
		return &rpc.Organisation{}
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
	}
	return nil
}

// parseSpec reads the spec. Fields unknown to this program are findings for a
// record of a schema version that it knows, and are passed over in a later one.
func (re Record) parseSpec(li *finding.List, pl finding.Place) proto.Message {
	ms := newSpec(Kind(re.GetKind()))
	op := protojson.UnmarshalOptions{DiscardUnknown: re.GetSchemaVersion() > SchemaVersion}
	if err := op.Unmarshal(re.Spec(), ms); err != nil {
		text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
		li.Add(pl, "spec: %s", strings.TrimPrefix(text, "proto: "))
		return nil
	}
	return ms
}

// withoutField gives a copy that lacks a field.
func (re Record) withoutField(path string) (Record, error) {
	text, err := sjson.DeleteBytes(bytes.Clone(re.JSON), path)
	if err != nil {
		return Record{}, eris.Wrap(err, "Record.without")
	}
	return ParseRecord(text)
}
