package limit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/limit"
)

const kib = 1 << 10

// TestTheOwnerThatHoldsTheMostPays has answers of two endpoints share the memory. The one whose
// answers do not end gives up its largest; a small answer of its neighbour is never given up.
func TestTheOwnerThatHoldsTheMostPays(t *testing.T) {
	me := limit.NewMemory[string](400 * kib)
	revoked := map[int]bool{}
	var endless []*limit.Hold[string]
	for n := range 3 {
		endless = append(endless, me.Open("endless", func() { revoked[n] = true }))
	}
	large := me.Open("sound", func() { t.Error("the neighbour's answer was given up") })
	small := me.Open("sound", func() { t.Error("the neighbour's small answer was given up") })
	qt.Assert(t, endless[0].Grow(100*kib) && endless[1].Grow(150*kib) && endless[2].Grow(100*kib), qt.IsTrue)
	qt.Assert(t, large.Grow(100*kib), qt.IsTrue)
	qt.Assert(t, small.Grow(10*kib), qt.IsTrue)
	qt.Assert(t, large.Grow(120*kib), qt.IsTrue)
	qt.Assert(t, revoked, qt.DeepEquals, map[int]bool{1: true})
	qt.Assert(t, endless[1].Revoked(), qt.IsTrue)
	qt.Assert(t, endless[1].Grow(1), qt.IsFalse)
	// One that grows on is itself the largest.
	qt.Assert(t, endless[0].Grow(350*kib), qt.IsFalse)
	qt.Assert(t, large.Revoked(), qt.IsFalse)
}

// TestReservedMemoryIsRefusedNotTaken has a body find no room: it is refused, and the others stay.
func TestReservedMemoryIsRefusedNotTaken(t *testing.T) {
	me := limit.NewMemory[string](100 * kib)
	first, second := me.Open("", func() {}), me.Open("", func() {})
	qt.Assert(t, first.Reserve(90*kib), qt.IsTrue)
	qt.Assert(t, second.Reserve(50*kib), qt.IsFalse)
	qt.Assert(t, second.Reserve(10*kib), qt.IsTrue)
	qt.Assert(t, first.Revoked(), qt.IsFalse)
	first.Close()
	qt.Assert(t, second.Reserve(50*kib), qt.IsTrue)
}

// TestMemoryIsNeverExceeded grows and closes holds in any order.
func TestMemoryIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const total = 300 * kib
		me := limit.NewMemory[int](total)
		var holds []*limit.Hold[int]
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch n := rapid.IntRange(0, 3).Draw(rt, "step"); {
			case n == 0 || len(holds) == 0:
				holds = append(holds, me.Open(rapid.IntRange(0, 3).Draw(rt, "owner"), func() {}))
			case n == 1:
				holds[rapid.IntRange(0, len(holds)-1).Draw(rt, "hold")].Close()
			default:
				ho, size := holds[rapid.IntRange(0, len(holds)-1).Draw(rt, "hold")], rapid.Int64Range(0, 400*kib).Draw(rt, "size")
				if n == 2 {
					ho.Reserve(size)
				} else if ho.Grow(size) == ho.Revoked() {
					rt.Fatal("Grow and Revoked disagree")
				}
			}
			if me.Used() < 0 || me.Used() > total {
				rt.Fatalf("%d bytes are held of %d", me.Used(), total)
			}
		}
		for _, ho := range holds {
			ho.Close()
		}
		if me.Used() != 0 || me.Held() != 0 {
			rt.Fatalf("%d bytes are held by nobody", me.Used())
		}
	})
}

// TestRevokedHoldsCountUntilTheyAreClosed has a hold grow while revoked ones have not been closed.
// They had no bytes from then on, and the process held several times what it may.
func TestRevokedHoldsCountUntilTheyAreClosed(t *testing.T) {
	me := limit.NewMemory[string](400 * kib)
	first, second, third := me.Open("a", func() {}), me.Open("a", func() {}), me.Open("a", func() {})
	qt.Assert(t, first.Grow(300*kib), qt.IsTrue)
	qt.Assert(t, second.Grow(250*kib), qt.IsTrue)
	qt.Assert(t, first.Revoked(), qt.IsTrue)
	qt.Assert(t, me.Used(), qt.Equals, int64(234*kib))
	qt.Assert(t, me.Held(), qt.Equals, int64((234+284)*kib))
	// The first has not been closed, so the third may not take the second's place as well.
	qt.Assert(t, third.Grow(240*kib), qt.IsFalse)
	qt.Assert(t, second.Revoked(), qt.IsFalse)
	first.Close()
	third.Close()
	qt.Assert(t, me.Held(), qt.Equals, me.Used())
	fourth := me.Open("a", func() {})
	qt.Assert(t, fourth.Grow(240*kib), qt.IsTrue)
	qt.Assert(t, second.Revoked(), qt.IsTrue)
}
