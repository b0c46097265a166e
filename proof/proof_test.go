// Package proof_test checks the invariants of a site under injected failures.
// docs/PROOFS.md has a row for each test.
package proof_test

import (
	"testing"
	"testing/synctest"

	"tanagerpoint.example/tanager/testsite"
)

// withSite runs fn on a new site, in virtual time, and closes the site
// afterwards.
func withSite(t *testing.T, opt testsite.Options, fn func(t *testing.T, si *testsite.Site)) {
	synctest.Test(t, func(t *testing.T) {
		si := testsite.New(t, opt)
		defer si.Close()
		fn(t, si)
	})
}
