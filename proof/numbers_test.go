package proof_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// TestOddUsageOfAnEngineStaysWithItsAnswer has an engine report odd numbers of tokens for one answer in
// five. Costs wrapped to negative bills, and the expected length of an answer grew until all callers of
// the model were refused because no answer could be in time.
func TestOddUsageOfAnEngineStaysWithItsAnswer(t *testing.T) {
	// mostTokens is more than any model's context holds.
	const mostTokens, prices = 1 << 24, 1 + 2
	for _, number := range []string{"-1", "2147483648", "9007199254740993", "4611686018427387904", "9223372036854775807", "18446744073709551616", "1e308", strings.Repeat("9", 400), "1.5"} {
		t.Run(fmt.Sprintf("%.20s", number), func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 1, Engines: 1, EntrySettings: singleEntrySettings()}, func(t *testing.T, si *testsite.Site) {
				en := si.Engines["engine-1"]
				for n := range 20 {
					en.SetFaults(standin.Faults{})
					if n%5 == 0 {
						en.SetFaults(standin.Faults{Usage: strings.ReplaceAll(`{"prompt_tokens":N,"completion_tokens":N,"total_tokens":N}`, "N", number)})
					}
					an := si.Chat(testsite.Call{Tokens: testsite.NoTokenLimit})
					qt.Check(t, an.Status, qt.Equals, http.StatusOK, qt.Commentf("request %d: %s", n, an.Body))
				}
				time.Sleep(2 * time.Second)
				bis := si.Bills().Bills
				qt.Check(t, bis, qt.HasLen, 20)
				for _, bi := range bis {
					for name, value := range map[string]int64{"input": bi.GetInputTokens(), "output": bi.GetOutputTokens(), "cost": bi.GetCost()} {
						qt.Check(t, value >= 0 && value <= prices*mostTokens, qt.IsTrue, qt.Commentf("%s %d", name, value))
					}
				}
			})
		})
	}
}

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
