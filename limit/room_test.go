package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/limit"
)

const roomSlots = 64

var roomStart = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func TestRoomOfAnEndpoint(t *testing.T) {
	rm := limit.NewRoom(roomStart, roomSlots)
	for _, ca := range []struct {
		name string
		got  limit.Room
		want int
	}{
		{"its slots, as long as nothing shows less", rm, roomSlots},
		{"waiting for a slot", rm.Reported(roomStart, limit.Occupancy{Running: roomSlots, Waiting: 50}), roomSlots},
		{"fewer slots than in the policy", rm.Reported(roomStart, limit.Occupancy{Running: 1, Slots: 48}), 48},
		{"waiting for memory", rm.Reported(roomStart, limit.Occupancy{Running: 20, Waiting: 30}), 36},
		{"about to run", rm.Reported(roomStart, limit.Occupancy{Running: 3, Waiting: 10}), roomSlots},
		{"refused with places to wait", rm.Refused(roomStart, &limit.Occupancy{Running: roomSlots, Waiting: 2}), roomSlots},
		{"refused for memory", rm.Refused(roomStart, &limit.Occupancy{Running: 50, Waiting: 5}), 55},
		{"one large request refused by an idle endpoint", rm.Refused(roomStart, &limit.Occupancy{Running: 1}), 51},
		{"refused without word of the load", rm.Refused(roomStart, nil), 51},
	} {
		qt.Check(t, ca.got.Places(), qt.Equals, ca.want, qt.Commentf("%s", ca.name))
	}
}

func TestRoomGrowsAgainWhenNothingWaits(t *testing.T) {
	rm := limit.NewRoom(roomStart, roomSlots).Reported(roomStart, limit.Occupancy{Running: 4, Waiting: 30})
	qt.Assert(t, rm.Places(), qt.Equals, 20)
	rm = rm.Reported(roomStart.Add(2*time.Second), limit.Occupancy{Running: 4})
	qt.Assert(t, rm.Places() > 20 && rm.Places() < 30, qt.IsTrue, qt.Commentf("%d", rm.Places()))
	rm = rm.Reported(roomStart.Add(20*time.Second), limit.Occupancy{Running: 4})
	qt.Assert(t, rm.Places(), qt.Equals, roomSlots)
}

// TestRoomShrinksToWhatRunsAtOnce has an endpoint run fewer requests than its slots, while a few
// more wait: too few of them for it to lack room for certain at once.
func TestRoomShrinksToWhatRunsAtOnce(t *testing.T) {
	const runs = 40
	rm, now := limit.NewRoom(roomStart, roomSlots), roomStart
	for range 4 {
		now = now.Add(500 * time.Millisecond)
		waiting := min(rm.Places()-runs, 24)
		rm = rm.Reported(now, limit.Occupancy{Running: runs, Waiting: waiting})
	}
	qt.Assert(t, rm.Places(), qt.Equals, runs)
}

// TestRoomKeepsWhatRunsAtOnce has an endpoint that runs all that its slots allow start each
// request a little after it has arrived.
func TestRoomKeepsWhatRunsAtOnce(t *testing.T) {
	rm, now := limit.NewRoom(roomStart, roomSlots), roomStart
	for n := range 40 {
		now = now.Add(200 * time.Millisecond)
		starting := n % 3
		rm = rm.Reported(now, limit.Occupancy{Running: rm.Places() - starting, Waiting: starting})
	}
	qt.Assert(t, rm.Places() >= roomSlots-3, qt.IsTrue, qt.Commentf("%d", rm.Places()))
}

// TestRoomStaysBetweenOnePlaceAndTheSlots has an endpoint report and refuse anything.
func TestRoomStaysBetweenOnePlaceAndTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		now, rm := roomStart, limit.NewRoom(roomStart, slots)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			oc := limit.Occupancy{Running: rapid.IntRange(0, 2*slots).Draw(t, "running"), Waiting: rapid.IntRange(0, 200).Draw(t, "waiting")}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				rm = rm.Reported(now, oc)
			case 1:
				rm = rm.Refused(now, &oc)
			default:
				rm = rm.Refused(now, nil)
			}
			if rm.Places() < 1 || rm.Places() > slots {
				t.Fatalf("%d places of %d slots", rm.Places(), slots)
			}
		}
	})
}
