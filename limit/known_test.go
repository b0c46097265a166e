package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/vm"
)

// loneGroup returns the exchange of a router that knows no others.
func loneGroup(name vm.ID, ho *configuration.Holder) *peer.Group {
	return peer.NewGroup(peer.Options{
		Self: &rpc.Member{Vm: string(name), Role: peer.RoleRouter, PeerAddress: string(name) + ":80"}, SharedKey: "the shared key",
		Interval: 500 * time.Millisecond, Fanout: 1, FailedAfter: 2 * time.Second, MaxPassedAge: time.Second,
	}, ho, testsite.NewNetwork().ForHost(testsite.Host(name)), event.Discard())
}

// loneLimits returns the limits of a router that knows no others, started at a time.
func loneLimits(startedAt time.Time, name vm.ID, ho *configuration.Holder) *limit.Limits {
	return limit.New(startedAt, loneGroup(name, ho), ho, event.Discard())
}

// replaceRecords puts the records of specs, by kind and id, in force at a revision, and no others.
func replaceRecords(t testing.TB, ho *configuration.Holder, revision store.Revision, specs map[policy.Kind]map[string]proto.Message) {
	t.Helper()
	var records []policy.StoredRecord
	for ki, byID := range specs {
		for id, spec := range byID {
			re, err := policy.NewRecord(ki, id, spec)
			qt.Assert(t, err, qt.IsNil)
			records = append(records, re.Stored(revision))
		}
	}
	ho.Replace(revision, records)
}

// coldEndpoint returns the records of a service with one endpoint, which is cold for a time.
func coldEndpoint(coldFor time.Duration, sequence int64) map[policy.Kind]map[string]proto.Message {
	return map[policy.Kind]map[string]proto.Message{
		policy.KindService: {"s": &rpc.Service{ColdPerSecond: 11}},
		policy.KindEndpoint: {"e": &rpc.Endpoint{
			Kind: rpc.EndpointKind_PLAIN, Url: "http://10.0.0.1:80", Service: "s", FailureDomain: "fd-1", Slots: 32, ColdRemainingMs: coldFor.Milliseconds(), StartedAtMs: sequence,
		}},
	}
}

// TestColdRateHoldsForAHerd starts many routers at once, none of which knows the others yet, while an
// endpoint is cold. Each took the whole rate for its own. The 4500 ms must stay below joinTime, 5 s, from
// which on each of them takes itself for alone.
func TestColdRateHoldsForAHerd(t *testing.T) {
	start, ats := time.Now(), []time.Time(nil)
	ho := configuration.NewHolder(event.Discard())
	replaceRecords(t, ho, 10, coldEndpoint(20*time.Second, 1))
	for _, router := range holdersNamed(88) {
		li := loneLimits(start, router.VM, ho)
		for at := start; at.Before(start.Add(4500 * time.Millisecond)); at = at.Add(10 * time.Millisecond) {
			if li.Take(at, "e") {
				ats = append(ats, at)
			}
			if at.Sub(start)%(400*time.Millisecond) == 0 {
				li.Refresh(at)
			}
		}
	}
	qt.Assert(t, float64(mostInASecond(ats)) <= testsite.MaxColdRequests(11), qt.IsTrue, qt.Commentf("%d in a second", mostInASecond(ats)))
}

// takenIn returns how many requests a router may send to the endpoint within a second.
func takenIn(li *limit.Limits, from time.Time) int {
	taken := 0
	for at := from; at.Before(from.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
		if li.Take(at, "e") {
			taken++
		}
	}
	return taken
}

// TestRateGrowsOnceAnEndpointIsWarm lets an endpoint become warm, by the time that it named or by a
// later registration: the rate grows, and ends after a while.
func TestRateGrowsOnceAnEndpointIsWarm(t *testing.T) {
	for _, early := range []bool{false, true} {
		start := time.Now()
		ho := configuration.NewHolder(event.Discard())
		replaceRecords(t, ho, 10, coldEndpoint(10*time.Second, 1))
		li := loneLimits(start.Add(-time.Minute), "vm-0", ho)
		qt.Assert(t, li.Allows(start, "e"), qt.IsFalse)
		li.Refresh(start)
		cold := takenIn(li, start.Add(5*time.Second))
		warmAt := start.Add(10 * time.Second)
		if early {
			warmAt = start.Add(7 * time.Second)
			replaceRecords(t, ho, 11, coldEndpoint(0, 2))
			li.Allows(warmAt, "e")
		}
		warming := takenIn(li, warmAt)
		qt.Check(t, cold >= 1 && cold <= 2, qt.IsTrue, qt.Commentf("%d while cold", cold))
		qt.Check(t, warming > cold && warming < 20, qt.IsTrue, qt.Commentf("%d then", warming))
		qt.Check(t, takenIn(li, warmAt.Add(3*time.Second)), qt.Equals, 100)
	}
}

// TestOlderRegistrationDoesNotEndColdness has an endpoint that registered as warm say in an answer
// that it is cold. Reading the same registration again says nothing new.
func TestOlderRegistrationDoesNotEndColdness(t *testing.T) {
	start := time.Now()
	ho := configuration.NewHolder(event.Discard())
	replaceRecords(t, ho, 10, coldEndpoint(0, 1))
	li := loneLimits(start.Add(-time.Minute), "vm-0", ho)
	qt.Assert(t, takenIn(li, start), qt.Equals, 100)
	run := policy.EndpointRun{ID: "e", StartedAtMs: 1}
	li.Cold(start.Add(time.Second), policy.EndpointRun{ID: "e", StartedAtMs: 7}, start.Add(time.Minute))
	qt.Assert(t, takenIn(li, start.Add(time.Second)), qt.Equals, 100, qt.Commentf("word of another run"))
	li.Cold(start.Add(2*time.Second), run, start.Add(10*time.Second))
	replaceRecords(t, ho, 11, coldEndpoint(0, 1))
	qt.Assert(t, takenIn(li, start.Add(2*time.Second)) <= 2, qt.IsTrue)
	replaceRecords(t, ho, 12, coldEndpoint(0, 2))
	li.Allows(start.Add(3*time.Second), "e")
	qt.Assert(t, takenIn(li, start.Add(6*time.Second)), qt.Equals, 100)
}

// TestLimitOutlivesTheEndpointsEntry lets the entry of an endpoint with a limit lapse, as while the
// store is away: routers go on to use the endpoint, and sent it as much as they liked.
func TestLimitOutlivesTheEndpointsEntry(t *testing.T) {
	start := time.Now()
	ho := configuration.NewHolder(event.Discard())
	replaceRecords(t, ho, 10, coldEndpoint(0, 1))
	li := loneLimits(start.Add(-time.Minute), "vm-0", ho)
	li.Named(start, "e", 2)
	replaceRecords(t, ho, 11, nil)
	li.Refresh(start.Add(time.Second))
	qt.Assert(t, takenIn(li, start.Add(time.Second)) <= 2, qt.IsTrue)
	li.Refresh(start.Add(2 * time.Minute))
	qt.Assert(t, li.Rates(), qt.HasLen, 0)
}

// TestEndpointsCountAsColdAfterAnEvacuation takes an evacuation back before the endpoints have said
// that they are cold meanwhile: having nothing to do, they got all that came.
func TestEndpointsCountAsColdAfterAnEvacuation(t *testing.T) {
	for _, coldPerSecond := range []float64{0, 11} {
		start := time.Now()
		ho := configuration.NewHolder(event.Discard())
		specs := coldEndpoint(0, 1)
		specs[policy.KindService] = map[string]proto.Message{"s": &rpc.Service{ColdPerSecond: coldPerSecond}}
		specs[policy.KindEvacuation] = map[string]proto.Message{"fd-1": &rpc.Evacuation{}, "fd-2": &rpc.Evacuation{}}
		replaceRecords(t, ho, 10, specs)
		li := loneLimits(start.Add(-time.Minute), "vm-0", ho)
		li.Refresh(start)
		qt.Assert(t, takenIn(li, start), qt.Equals, 100)
		delete(specs[policy.KindEvacuation], "fd-1")
		replaceRecords(t, ho, 11, specs)
		if taken := takenIn(li, start.Add(time.Second)); coldPerSecond > 0 {
			qt.Check(t, taken <= 2, qt.IsTrue, qt.Commentf("%d taken", taken))
		} else {
			qt.Check(t, taken, qt.Equals, 100)
		}
		qt.Check(t, takenIn(li, start.Add(6*time.Second)), qt.Equals, 100)
	}
}

// TestOldRegistrationDoesNotMakeAnEndpointColdAgain has an endpoint's registration stay as it was
// written while the endpoint was cold, as if the endpoint no longer reached the store.
func TestOldRegistrationDoesNotMakeAnEndpointColdAgain(t *testing.T) {
	start := time.Now()
	ho := configuration.NewHolder(event.Discard())
	specs := coldEndpoint(3*time.Second, 1)
	replaceRecords(t, ho, 10, specs)
	li := loneLimits(start.Add(-time.Minute), "vm-0", ho)
	qt.Assert(t, takenIn(li, start) <= 2, qt.IsTrue)
	for revision := store.Revision(11); revision < 40; revision++ {
		at := start.Add(time.Duration(revision) * 10 * time.Second)
		specs[policy.KindRoute] = map[string]proto.Message{"r": &rpc.Route{TimeoutMs: int64(revision)}}
		replaceRecords(t, ho, revision, specs)
		li.Refresh(at)
		qt.Assert(t, takenIn(li, at), qt.Equals, 100, qt.Commentf("at revision %d", revision))
	}
}
