package capacity_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tanagerpoint.example/tanager/testsite"
)

// BenchmarkIdleSite measures the traffic of idle sites of several sizes, in which half
// of the daemons are stewards: the bytes that an entry sends and the store calls of a
// daemon, each per second of virtual time.
func BenchmarkIdleSite(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("daemons-%d", 2*n), func(b *testing.B) {
			for b.Loop() {
				bytes, calls := idleTraffic(n)
				b.ReportMetric(bytes, "bytes-sent/s/entry")
				b.ReportMetric(calls, "store-calls/s/daemon")
			}
		})
	}
}

// idleTraffic runs an idle site of n entries and n stewards for a minute of virtual
// time. It returns the bytes that the first entry sends and the mean store calls of a
// daemon, both per second.
func idleTraffic(n int) (bytes, calls float64) {
	// synctest.Test takes a *testing.T, which a benchmark does not have.
	var t testing.T
	synctest.Test(&t, func(t *testing.T) {
		si := testsite.New(t, testsite.Options{Entries: n, Stewards: n, Engines: 2})
		defer si.Close()
		const measured = 60 * time.Second
		entry := testsite.Host(testsite.EntryName(1))
		readsBefore, writesBefore := si.Store.Calls()
		bytesBefore := si.Net.BytesSent(entry)
		time.Sleep(measured)
		readsAfter, writesAfter := si.Store.Calls()
		bytes = float64(si.Net.BytesSent(entry)-bytesBefore) / measured.Seconds()
		calls = float64(readsAfter-readsBefore+writesAfter-writesBefore) / measured.Seconds() / float64(2*n)
	})
	return bytes, calls
}
