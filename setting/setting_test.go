package setting_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/setting"
)

func TestExamplesHaveNoFindings(t *testing.T) {
	for pattern, ms := range map[string]proto.Message{
		"../examples/*/entry-*.ini":   &rpc.EntrySettings{},
		"../examples/*/steward-*.ini": &rpc.StewardSettings{},
	} {
		files, err := filepath.Glob(pattern)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(files) > 10, qt.IsTrue)
		for _, file := range files {
			qt.Assert(t, setting.Load(file, proto.Clone(ms)), qt.IsNil, qt.Commentf("%s", file))
		}
	}
}

func TestSettingsDocumentMatchesDescribe(t *testing.T) {
	text, err := os.ReadFile("../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	for _, ms := range []proto.Message{&rpc.EntrySettings{}, &rpc.StewardSettings{}, &rpc.RouterSettings{}} {
		qt.Assert(t, string(text), qt.Contains, strings.TrimRight(setting.Describe(ms), "\n"))
	}
}

const validSettings = `[vm]
id = a
site = s
failure_domain = f
[store]
urls = http://127.0.0.1:1
[platform]
vm_list_url = http://127.0.0.1:2
[peers]
shared_key = 0123456789abcdef
`

// load writes text to a file and loads it into ms.
func load(t testing.TB, text string, ms proto.Message) error {
	file := filepath.Join(t.TempDir(), "x.ini")
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return setting.Load(file, ms)
}

func TestLoadSetsDefaults(t *testing.T) {
	var es rpc.EntrySettings
	qt.Assert(t, load(t, validSettings, &es), qt.IsNil)
	qt.Assert(t, es.GetServing().GetProgress().AsDuration(), qt.Equals, 2*time.Second)
	qt.Assert(t, es.GetStore().GetUrls(), qt.DeepEquals, []string{"http://127.0.0.1:1"})
}

func TestFindingsNameSectionAndKey(t *testing.T) {
	for _, ca := range []struct{ appended, section, key, message string }{
		{"[vm]\nid = b\n", "vm", "id", "set more than once"},
		{"[billing]\ncopies = many\n", "billing", "copies", `"many" is not a whole number`},
		{"[serving]\nretry_budget = 2\n", "serving", "retry_budget", "2 is outside 0 to 1"},
		{"[listen]\nadmin = 127.0.0.1:7801\n", "listen", "admin", "same address as callers"},
		{"[log]\nlevel = loud\n", "log", "level", `"loud" is not a level: want debug, info, warning or error`},
		{"[peers]\nfailed_after = 500ms\n", "peers", "failed_after", "must be at least twice the exchange interval"},
		{"[servin]\n", "servin", "", "unknown section"},
	} {
		var li finding.List
		err := load(t, validSettings+ca.appended, &rpc.EntrySettings{})
		qt.Assert(t, errors.As(err, &li), qt.IsTrue, qt.Commentf("%q", ca.appended))
		qt.Assert(t, li, qt.HasLen, 1, qt.Commentf("%v", li))
		qt.Assert(t, li[0].Place.Section, qt.Equals, ca.section)
		qt.Assert(t, li[0].Place.Key, qt.Equals, ca.key)
		qt.Assert(t, li[0].Message, qt.Equals, ca.message)
	}
}

// routerSettings are those of a router, with more lines.
func routerSettings(more string) string {
	return strings.Replace(validSettings, "[platform]\nvm_list_url = http://127.0.0.1:2\n", "", 1) +
		"[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\ndirectory = 127.0.0.1:3\npeers = 127.0.0.1:4\nadmin = 127.0.0.1:5\n" + more
}

// TestSettingsOfThePlatformBeyondABoundCountAsIt has the platform, whose pages bound no number, fill in
// more than any router needs. Routers did not start.
func TestSettingsOfThePlatformBeyondABoundCountAsIt(t *testing.T) {
	for _, number := range []string{"1000000000", "9223372036", "9007199254740993", "9223372036854775807", "1e308", "1e400", strings.Repeat("9", 400)} {
		var rs rpc.RouterSettings
		err := load(t, routerSettings(strings.ReplaceAll("[serving]\nlink_mbps = N\nmemory_mb = N\nretry_ratio = N\nretry_slack = N\ndrain_limit = Ns\nretry_window = Ns\nsession_keep = Ns\n", "N", number)), &rs)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%.30s", number))
		se := rs.GetServing()
		qt.Check(t, []float64{se.GetLinkMbps(), se.GetRetryRatio(), se.GetRetrySlack(), se.GetMemoryMb()}, qt.DeepEquals, []float64{1e7, 10, 1e6, 1 << 20}, qt.Commentf("%.30s", number))
		for _, du := range []time.Duration{se.GetDrainLimit().AsDuration(), se.GetSessionKeep().AsDuration()} {
			qt.Check(t, du, qt.Equals, time.Hour, qt.Commentf("%.30s", number))
		}
		qt.Check(t, se.GetRetryWindow().AsDuration(), qt.Equals, 10*time.Minute, qt.Commentf("%.30s", number))
	}
	var rs rpc.RouterSettings
	qt.Assert(t, load(t, routerSettings("[serving]\nretry_window = 0s\n"), &rs), qt.IsNil)
	qt.Check(t, rs.GetServing().GetRetryWindow().AsDuration(), qt.Equals, time.Second)
}

// TestSettingThatIsNoNumberIsFound has settings that no comparison with a bound finds.
func TestSettingThatIsNoNumberIsFound(t *testing.T) {
	for _, text := range []string{"NaN", "nan", "Inf", "-Inf", "0x1p-2", "1_0"} {
		qt.Check(t, load(t, validSettings+"[serving]\nretry_budget = "+text+"\n", &rpc.EntrySettings{}), qt.ErrorMatches, "(?s).*is not a number.*", qt.Commentf("%s", text))
		qt.Check(t, load(t, routerSettings("[serving]\nmemory_mb = "+text+"\n"), &rpc.RouterSettings{}), qt.IsNotNil, qt.Commentf("%s", text))
		qt.Check(t, load(t, routerSettings("[serving]\nretry_ratio = "+text+"\n"), &rpc.RouterSettings{}), qt.IsNotNil, qt.Commentf("%s", text))
	}
}

// FuzzLoad checks that Load does not panic. It may return any findings.
func FuzzLoad(f *testing.F) {
	f.Add(validSettings)
	f.Add("[vm\n=\n[[x]]\nkey")
	f.Fuzz(func(t *testing.T, text string) {
		_ = load(t, text, &rpc.EntrySettings{})
	})
}

// TestEmptyNumberCountsAsItsDefault has the platform fill in nothing for a number or a time. A router
// took an empty memory_mb for none at all, and refused every connection.
func TestEmptyNumberCountsAsItsDefault(t *testing.T) {
	var rs rpc.RouterSettings
	qt.Assert(t, load(t, routerSettings("[serving]\nmemory_mb = \nretry_window =\n"), &rs), qt.IsNil)
	qt.Check(t, rs.GetServing().GetMemoryMb(), qt.Equals, 112.0)
	qt.Check(t, rs.GetServing().GetRetryWindow().AsDuration(), qt.Equals, 10*time.Second)
}
