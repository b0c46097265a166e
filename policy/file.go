package policy

import (
	"encoding/json"
	"os"

	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/store"
)

// FileRecord is a record from an operator's file. Base is the revision that it
// was made from, as `tanagerctl get` writes it; 0 when it is not given.
type FileRecord struct {
	Record       Record
	File         string
	BaseRevision store.Revision
}

// revisionField is the field in files that carries the base revision. It is
// not stored.
const revisionField = "revision"

// ReadFiles reads records from files. A file holds one record, an array of
// them, or an object with an array named records. The error is a finding.List.
func ReadFiles(files []string) ([]FileRecord, error) {
	var li finding.List
	var out []FileRecord
	seen := map[string]string{}
	for _, fi := range files {
		text, err := os.ReadFile(fi)
		if err != nil {
			li.Add(finding.Place{File: fi}, "cannot read: %v", err)
			continue
		}
		for _, fr := range parseFile(&li, fi, text) {
			if other, ok := seen[fr.Record.Key()]; ok {
				li.Add(finding.Place{File: fi, Section: fr.Record.Key()}, "stands in %s too", other)
				continue
			}
			seen[fr.Record.Key()] = fi
			out = append(out, fr)
		}
	}
	return out, li.Err()
}

func parseFile(li *finding.List, file string, text []byte) []FileRecord {
	if !json.Valid(text) {
		var va any
		li.Add(finding.Place{File: file}, "not JSON: %v", json.Unmarshal(text, &va))
		return nil
	}
	body := gjson.ParseBytes(text)
	if rs := body.Get("records"); rs.IsArray() {
		body = rs
	}
	items := []gjson.Result{body}
	if body.IsArray() {
		items = body.Array()
	}
	var out []FileRecord
	for i, it := range items {
		base := store.Revision(it.Get(revisionField).Int())
		re, err := ParseRecord([]byte(it.Raw))
		if err == nil {
			re, err = re.withoutField(revisionField)
		}
		if err != nil {
			li.Add(finding.Place{File: file, Section: it.Get("kind").Str + "/" + it.Get("id").Str}, "record %d: %v", i+1, err)
			continue
		}
		out = append(out, FileRecord{Record: re, File: file, BaseRevision: base})
	}
	return out
}

// ValidateFiles finds the mistakes of records in files, on top of a set.
func ValidateFiles(se *Set, frs []FileRecord) finding.List {
	files := map[string]string{}
	var res []Record
	for _, fr := range frs {
		files[fr.Record.Key()] = fr.File
		res = append(res, fr.Record)
	}
	place := func(key string) finding.Place { return finding.Place{File: files[key], Section: key} }
	next := se.WithRecords(res)
	li := next.unparsedFindings(files)
	return append(li, next.Validate(place)...)
}

// unparsedFindings finds the records whose envelopes cannot be read at all, which have
// no place among the validated ones.
func (se *Set) unparsedFindings(files map[string]string) finding.List {
	var li finding.List
	for key, file := range files {
		pr := se.byKey[key]
		if pr.record.Record == nil {
			for _, fi := range pr.findings {
				li.Add(finding.Place{File: file, Section: key, Key: fi.Place.Key}, "%s", fi.Message)
			}
		}
	}
	return li
}
