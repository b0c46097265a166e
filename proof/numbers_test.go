package proof_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/testsite"
)

// TestLargestNumbersOfAnOrganisationAllowAll has the policy name the largest numbers, an operator's "no
// limit". An organisation that may have 2^63-1 requests in service was refused each of them.
func TestLargestNumbersOfAnOrganisationAllowAll(t *testing.T) {
	records := []string{
		testsite.Record("organisation", "chest", fmt.Sprintf(`{"key_hashes":[%q],"allowed_models":["*"],"max_in_flight":"9223372036854775807"}`, hashKey(testsite.CallerKey))),
		testsite.Record("rank", "urgent", `{"order":"-9223372036854775808","deadline_ms":"9223372036854775807","first_token_target_ms":"9223372036854775807","floor":0.2}`),
		testsite.Record("rank", "standard", `{"order":1,"deadline_ms":30000,"floor":0.2}`),
		testsite.Record("rank", "bulk", `{"order":"9223372036854775807","deadline_ms":60000,"floor":0.1}`),
		testsite.Record("version", "m-1", `{"model":"m","cost":{"input":"9223372036854775807","output":"9223372036854775807"},"quality":0.8}`),
	}
	for n := 1; n <= 2; n++ {
		records = append(records, strings.Replace(testsite.EngineRecord(n, ""), `"slots":8`, `"slots":"9223372036854775807"`, 1))
	}
	withSite(t, testsite.Options{Entries: 2, Engines: 2, Records: records}, func(t *testing.T, si *testsite.Site) {
		for n := 1; n <= 2; n++ {
			for _, rank := range []string{"urgent", "standard", "bulk"} {
				an := si.Chat(testsite.Call{Entry: n, Header: map[string]string{entry.HeaderRank: rank}})
				qt.Check(t, an.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", rank, an.Body))
			}
		}
		time.Sleep(2 * time.Second)
		for _, bi := range si.Bills().Bills {
			qt.Check(t, bi.GetCost() > 0, qt.IsTrue, qt.Commentf("%d", bi.GetCost()))
		}
	})
}
