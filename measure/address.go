package measure

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"tanagerpoint.example/tanager/directory"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

const (
	addressCallers = 400
	addressEntries = 8
	addressKeep    = 2 * time.Second
	entryFailedIn  = 2 * time.Second
	askInterval    = 100 * time.Millisecond
	entriesDie     = 30 * time.Second
	entriesBack    = 50 * time.Second
	addressLength  = 90 * time.Second
)

// replacing is a run in which every second entry dies and comes back. The
// answers leave out what is not heard of when hears is set.
type replacing struct {
	*loop
	rng     *rand.Rand
	started time.Time
	hears   bool
	counts  [addressEntries]int
	late    int
}

func newReplacing(seed uint64, hears bool) *replacing {
	re := &replacing{loop: newLoop(), rng: rand.New(rand.NewPCG(seed, 6)), hears: hears}
	re.started = re.now
	return re
}

func (re *replacing) since() time.Duration { return re.now.Sub(re.started) }

func (re *replacing) dead(n int) bool {
	return n%2 == 0 && re.since() > entriesDie && re.since() < entriesBack
}

// answer gives the addresses as an entry would.
func (re *replacing) answer() []int {
	var cas []directory.Candidate
	for n := range addressEntries {
		if re.hears && re.dead(n) && re.since() > entriesDie+entryFailedIn {
			continue
		}
		name := strconv.Itoa(n)
		cas = append(cas, directory.Candidate{VM: vm.ID(name), Address: name, FailureDomain: policy.FailureDomain(strconv.Itoa(n % 3))})
	}
	domain := policy.FailureDomain(strconv.Itoa(re.rng.IntN(3)))
	var out []int
	for _, ad := range directory.Select(cas, func(vm.ID) bool { return false }, domain, re.rng) {
		n, err := strconv.Atoi(ad.Address)
		if err == nil {
			out = append(out, n)
		}
	}
	return out
}

// caller asks the first entry of its answer again and again. One that cannot
// connect asks for another answer.
func (re *replacing) caller() {
	var list []int
	var until time.Time
	re.every(askInterval+time.Duration(re.rng.IntN(50))*time.Millisecond, func() {
		if re.now.After(until) {
			list, until = re.answer(), re.now.Add(addressKeep)
		}
		n := list[0]
		if !re.dead(n) {
			re.counts[n]++
			return
		}
		until = time.Time{}
		if re.since() > entriesDie+entryFailedIn+addressKeep {
			re.late++
		}
	})
}

func (re *replacing) run() {
	for range addressCallers {
		re.caller()
	}
	re.loop.run(entriesDie)
	re.counts = [addressEntries]int{}
	re.loop.run(addressLength - entriesDie)
}

// spread compares the entries that lived all the time.
func (re *replacing) spread() float64 {
	most, sum := 0, 0
	for n := 1; n < addressEntries; n += 2 {
		most = max(most, re.counts[n])
		sum += re.counts[n]
	}
	return float64(most) / (float64(sum) / (addressEntries / 2))
}

// measureAddresses measures the spread of callers while half of the entries
// are replaced.
func measureAddresses(seed uint64) Row {
	mine, base := newReplacing(seed, true), newReplacing(seed, false)
	mine.run()
	base.run()
	return Row{
		Measure:   "address answers while half of the entries are replaced: max/mean of those that stay; requests to dead VMs after 2 s and the answer's keep",
		Baselines: fmt.Sprintf("plain random over the VM list: %.2f, %d", base.spread(), base.late),
		Figure:    fmt.Sprintf("%.2f, %d", mine.spread(), mine.late),
		Target:    "<= 1.2; none", Met: mine.spread() <= 1.2 && mine.late == 0,
	}
}
