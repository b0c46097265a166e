package proof_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

// TestStatusThatIsNoneIsNoAnswer has a service answer with a status that no final answer has. Callers
// got its body with status 200.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		t.Run(status, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 1, Plains: 1}, func(t *testing.T, si *testsite.Site) {
				ho := testsite.Host("desk-1")
				si.Net.Kill(ho)
				si.Net.Revive(ho)
				li, err := si.Net.ForHost(ho).Listen(testsite.PlainAddress(1))
				qt.Assert(t, err, qt.IsNil)
				testsite.AcceptEach(t, li, func(co net.Conn) {
					if rq, err := http.ReadRequest(bufio.NewReader(co)); err == nil {
						_, _ = io.Copy(io.Discard, rq.Body)
						_, _ = io.WriteString(co, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 4\r\n\r\nboom")
					}
				})
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					an := si.Checkout(testsite.Call{}, method, "", "loan")
					qt.Check(t, an.Status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%s: %d %s", method, an.Status, an.Body))
				}
			})
		})
	}
}
