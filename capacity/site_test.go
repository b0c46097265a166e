package capacity_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tanagerpoint.example/tanager/testsite"
)

// BenchmarkControl measures what an idle entry sends and asks of the store in a
// second, in virtual time, at sites of several sizes. Half of the daemons are
// stewards.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("daemons-%d", 2*n), func(b *testing.B) {
			for b.Loop() {
				bytes, calls := controlOf(n)
				b.ReportMetric(bytes, "bytes-sent/s/entry")
				b.ReportMetric(calls, "store-calls/s/daemon")
			}
		})
	}
}

func controlOf(n int) (bytes, calls float64) {
	var t testing.T
	synctest.Test(&t, func(t *testing.T) {
		si := testsite.New(t, testsite.Options{Entries: n, Stewards: n, Engines: 2})
		defer si.Close()
		const length = 60 * time.Second
		entry := testsite.Host(testsite.EntryName(1))
		reads, writes := si.Store.Calls()
		before := si.Net.BytesSent(entry)
		time.Sleep(length)
		readsAfter, writesAfter := si.Store.Calls()
		bytes = float64(si.Net.BytesSent(entry)-before) / length.Seconds()
		calls = float64(readsAfter-reads+writesAfter-writes) / length.Seconds() / float64(2*n)
	})
	return bytes, calls
}
