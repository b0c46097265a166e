package session_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/session"
)

// TestExpiredPinIsNotCopied asks a holder for the copy of a pin that has expired. It
// answered with the expired pin's version, to which the session was then pinned again.
func TestExpiredPinIsNotCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lo := event.Discard()
		gr := peer.NewGroup(peer.Options{Self: &rpc.Member{Vm: "vm-1", Role: peer.RoleRouter}}, configuration.NewHolder(lo), network.Real(), lo)
		pi := session.NewPins(gr, time.Second)
		copied := func() string {
			rs, err := pi.Pin(context.Background(), &rpc.PinRequest{Session: "s", Copy: true})
			qt.Assert(t, err, qt.IsNil)
			return rs.GetVersion()
		}
		qt.Assert(t, pi.Version(context.Background(), "s", "v1", ""), qt.Equals, policy.VersionID("v1"))
		qt.Assert(t, copied(), qt.Equals, "v1")
		time.Sleep(2 * time.Second)
		qt.Assert(t, copied(), qt.Equals, "")
	})
}
