package policy

import (
	"encoding/json"
	"os"

	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/store"
)

// FileRecord is a record read from an operator's file. BaseRevision is the
// revision that the operator edited, which `tanagerctl get` writes into the file;
// 0 if the file gives none.
type FileRecord struct {
	Record       Record
	File         string
	BaseRevision store.Revision
}

// revisionField is the field that holds the base revision in files. It is removed
// before a record is stored.
const revisionField = "revision"

// ReadFiles reads records from JSON files. A file holds one record, an array of
// records, or an object whose field "records" is such an array. It returns the
// records that can be read, and a finding.List as the error if some cannot or if a
// record is given twice.
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
				li.Add(finding.Place{File: fi, Section: fr.Record.Key()}, "same record is also in %s", other)
				continue
			}
			seen[fr.Record.Key()] = fi
			out = append(out, fr)
		}
	}
	return out, li.Err()
}

// parseFile returns the records in the text of a file and adds findings to li.
func parseFile(li *finding.List, file string, text []byte) []FileRecord {
	if !json.Valid(text) {
		var va any
		li.Add(finding.Place{File: file}, "invalid JSON: %v", json.Unmarshal(text, &va))
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

// ValidateFiles validates the set that results from adding the records of files to
// se. The findings include those of records that are only in se; these name no file.
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

// unparsedFindings returns the findings of those records whose envelope cannot be
// parsed, out of the records whose keys are in files, which maps each key to the
// record's file. Validate does not see them, because Records leaves them out.
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
