package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quarantine"
)

// crash is a crash at a time after the first one.
type crash struct {
	at       time.Duration
	endpoint policy.EndpointID
	request  policy.PromptPartID
}

func TestEvidenceCountsSeparateCrashesAndRequests(t *testing.T) {
	const later = time.Second
	for _, te := range []struct {
		name    string
		crashes []crash
		want    bool
	}{
		{"four crashes, three requests", []crash{{0, "a", "x"}, {later, "b", "x"}, {2 * later, "c", "y"}, {3 * later, "d", "z"}}, true},
		{"one endpoint that starts again", []crash{{0, "a", "x"}, {later, "a", "y"}, {2 * later, "a", "z"}, {3 * later, "a", "w"}}, true},
		{"one request sent again: not its parts", []crash{{0, "a", "x"}, {later, "b", "x"}, {2 * later, "c", "x"}, {3 * later, "d", "x"}, {4 * later, "e", "x"}}, false},
		{"two requests", []crash{{0, "a", "x"}, {later, "b", "y"}, {2 * later, "c", "x"}, {3 * later, "d", "y"}}, false},
		{"endpoints that crash together", []crash{{0, "a", "x"}, {1, "b", "y"}, {2, "c", "z"}, {3, "d", "w"}, {4, "e", "v"}}, false},
		{"several reports of one crash", []crash{{0, "a", "x"}, {later / 5, "a", "y"}, {2 * later / 5, "a", "z"}, {3 * later / 5, "a", "w"}, {4 * later / 5, "a", "v"}}, false},
		{"crashes long ago", []crash{{0, "a", "x"}, {later, "b", "y"}, {2 * later, "c", "z"}, {time.Hour, "d", "w"}}, false},
	} {
		t.Run(te.name, func(t *testing.T) {
			ev, start, got := quarantine.NewEvidence(), time.Now(), false
			for _, cr := range te.crashes {
				_, ok := ev.Add(start.Add(cr.at), quarantine.Crash{Subject: policy.Subject{Part: "p"}, Endpoint: cr.endpoint, Request: cr.request})
				got = got || ok
			}
			qt.Assert(t, got, qt.Equals, te.want)
		})
	}
}

// TestEvidenceCountsCrashesOfOneRequest asks when a request that comes again is barred itself.
func TestEvidenceCountsCrashesOfOneRequest(t *testing.T) {
	const later = time.Second
	for _, te := range []struct {
		name    string
		crashes []crash
		want    int
	}{
		{"three endpoints", []crash{{0, "a", "x"}, {later, "b", "x"}, {2 * later, "c", "x"}, {3 * later, "d", "x"}}, 3},
		{"one endpoint that starts again", []crash{{0, "a", "x"}, {4 * later, "a", "x"}, {8 * later, "a", "x"}}, 3},
		{"two endpoints", []crash{{0, "a", "x"}, {later, "b", "x"}}, 0},
		{"endpoints that crash together", []crash{{0, "a", "x"}, {1, "b", "x"}, {2, "c", "x"}, {3, "d", "x"}}, 0},
		{"several reports of one crash", []crash{{0, "a", "x"}, {later / 5, "a", "x"}, {2 * later / 5, "a", "x"}, {3 * later / 5, "a", "x"}}, 0},
		{"crashes long ago", []crash{{0, "a", "x"}, {later, "b", "x"}, {time.Hour, "c", "x"}}, 0},
	} {
		t.Run(te.name, func(t *testing.T) {
			ev, start, got := quarantine.NewEvidence(), time.Now(), 0
			for n, cr := range te.crashes {
				if _, ok := ev.Add(start.Add(cr.at), quarantine.Crash{Subject: policy.Subject{Request: "f"}, Endpoint: cr.endpoint, Request: cr.request}); ok && got == 0 {
					got = n + 1
				}
			}
			qt.Assert(t, got, qt.Equals, te.want)
		})
	}
}

// TestEvidenceExplainsBystanders asks which subjects are blamed when requests run beside one with a
// part that crashes each endpoint, and which of them stay blamed.
func TestEvidenceExplainsBystanders(t *testing.T) {
	cause, beside, request := policy.Subject{Part: "cause"}, policy.Subject{Part: "beside"}, policy.Subject{Request: "beside"}
	for _, te := range []struct {
		name string
		// crashes holds the subjects that each crash, a second after the one before, broke off.
		crashes     [][]policy.Subject
		quarantined []policy.Subject
		explained   []policy.Subject
	}{
		{"a request ran beside three crashes", [][]policy.Subject{{cause, request}, {cause, request}, {cause, request}, {cause}, {cause}}, []policy.Subject{request, cause}, []policy.Subject{request}},
		{"a request ran beside crashes of a known cause", [][]policy.Subject{{cause}, {cause}, {cause, request}, {cause, request}, {cause, request}}, []policy.Subject{cause}, nil},
		{"a part was beside all but one", [][]policy.Subject{{cause}, {cause, beside}, {cause, beside}, {cause, beside}, {cause, beside}}, []policy.Subject{cause}, nil},
		{"two parts were in all", [][]policy.Subject{{cause, beside}, {cause, beside}, {cause, beside}, {cause, beside}}, []policy.Subject{cause, beside}, nil},
		{"a part was beside all, and then alone", [][]policy.Subject{{cause, beside}, {cause, beside}, {cause, beside}, {cause, beside}, {cause}}, []policy.Subject{cause, beside}, nil},
		{"a request also crashes endpoints alone", [][]policy.Subject{{cause, request}, {cause, request}, {request}, {cause}, {cause}, {cause}}, []policy.Subject{request, cause}, nil},
	} {
		t.Run(te.name, func(t *testing.T) {
			ev, at := quarantine.NewEvidence(), time.Now()
			quarantined := map[policy.Subject]bool{}
			var got []policy.Subject
			for n, sus := range te.crashes {
				at = at.Add(time.Second)
				for _, su := range sus {
					cr := quarantine.Crash{Subject: su, Endpoint: policy.EndpointID(fmt.Sprint(n)), Request: policy.PromptPartID(fmt.Sprint(n))}
					if _, ok := ev.Add(at, cr); ok && !quarantined[su] {
						quarantined[su] = true
						got = append(got, su)
					}
				}
				ev.SetQuarantined(at, func(su policy.Subject) bool { return quarantined[su] })
			}
			qt.Check(t, got, qt.DeepEquals, te.quarantined)
			qt.Check(t, ev.Explained(at.Add(time.Second)), qt.DeepEquals, te.explained)
		})
	}
}

// TestEvidenceBeginsAnewAfterAQuarantine ends a quarantine. Crashes from before it no longer count.
func TestEvidenceBeginsAnewAfterAQuarantine(t *testing.T) {
	ev, at, su := quarantine.NewEvidence(), time.Now(), policy.Subject{Request: "f"}
	add := func(endpoint policy.EndpointID) bool {
		at = at.Add(time.Second)
		_, ok := ev.Add(at, quarantine.Crash{Subject: su, Endpoint: endpoint})
		return ok
	}
	for _, endpoint := range []policy.EndpointID{"a", "b"} {
		qt.Assert(t, add(endpoint), qt.IsFalse)
	}
	qt.Assert(t, add("c"), qt.IsTrue)
	ev.SetQuarantined(at, func(policy.Subject) bool { return true })
	qt.Assert(t, add("d"), qt.IsFalse)
	ev.SetQuarantined(at, func(policy.Subject) bool { return false })
	qt.Assert(t, add("e"), qt.IsFalse)
	qt.Assert(t, add("f"), qt.IsFalse)
	qt.Assert(t, add("g"), qt.IsTrue)
}
