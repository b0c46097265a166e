package proof_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// change is an operator's compare-and-swap of a record's description from base
// to next, or a read of it if next is empty.
type change struct {
	base, next string
}

// result is the outcome that an operator saw: the value read, or whether the
// change was applied. unknown means that the change may or may not be applied.
type result struct {
	read    string
	applied bool
	unknown bool
}

// recordModel is the sequential specification of one record that is read and
// changed by compare-and-swap. Its state is the record's description.
var recordModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		st, in, out := state.(string), input.(change), output.(result)
		switch {
		case in.next == "":
			return out.read == st, st
		case out.unknown:
			// A change that was never applied needs no case of its own. As it has
			// no time of return, the checker may place it after all other
			// operations, where no read sees its effect.
			if st == in.base {
				return true, in.next
			}
			return true, st
		case out.applied:
			return st == in.base, in.next
		default:
			return st != in.base, st
		}
	},
}

// TestChangesAreLinearizable lets four operators read and change one record
// while the store loses responses, is slow or is down, and checks that the
// history is linearizable. The seed determines the faults, their durations and the
// pauses between the operations.
func TestChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		withSite(t, testsite.Options{Entries: 1, Engines: 1}, func(t *testing.T, si *testsite.Site) {
			var clock atomic.Int64
			var mu sync.Mutex
			var history []porcupine.Operation
			record := func(client int, in change, calledAt int64, out result) {
				mu.Lock()
				defer mu.Unlock()
				returnedAt := clock.Add(1)
				if out.unknown {
					// The change may take effect at any later time, or never.
					returnedAt = math.MaxInt64
				}
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: calledAt, Output: out, Return: returnedAt})
			}
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(client)))
					for n := range 6 {
						readAndChange(t, si, client, n, &clock, record)
						time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
					}
				})
			}
			rng := rand.New(rand.NewPCG(seed, 99))
			for range 6 {
				si.Store.SetFaults([]standin.Faults{{LoseAnswers: 2}, {}, {DelayMS: 50}, {Down: true}}[rng.IntN(4)])
				time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
			}
			si.Store.SetFaults(standin.Faults{})
			wg.Wait()
			qt.Assert(t, len(history) > 10, qt.IsTrue)
			qt.Assert(t, porcupine.CheckOperations(recordModel, history), qt.IsTrue, qt.Commentf("seed %d: %v", seed, history))
		})
	}
}

// readAndChange reads the record, repeating until the store answers, and changes
// the description that it read. It records both operations.
func readAndChange(t *testing.T, si *testsite.Site, client, n int, clock *atomic.Int64, record func(int, change, int64, result)) {
	wr, cl := si.Writer(testsite.Host(fmt.Sprint("operator-", client)))
	defer cl.Close()
	calledAt := clock.Add(1)
	se, _, err := wr.Load(t.Context())
	for err != nil {
		time.Sleep(50 * time.Millisecond)
		se, _, err = wr.Load(t.Context())
	}
	re, base, _ := se.Record(policy.KindModel, "m")
	mo, _ := se.Models.ByID("m")
	record(client, change{}, calledAt, result{read: mo.Description})

	in := change{base: mo.Description, next: fmt.Sprintf("%d-%d", client, n)}
	changed, err := re.WithField("spec.description", in.next)
	qt.Check(t, err, qt.IsNil)
	calledAt = clock.Add(1)
	rs, err := wr.Apply(t.Context(), configuration.Request{ChangedBy: "operator", Changes: []configuration.Change{{Record: changed, Base: base}}})
	var co *configuration.Conflict
	switch {
	case err == nil:
		record(client, in, calledAt, result{applied: rs.Revision > 0})
	case asConflict(err, &co):
		record(client, in, calledAt, result{})
	default:
		record(client, in, calledAt, result{unknown: true})
	}
}
