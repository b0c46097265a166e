package testsite

import (
	"fmt"

	"tanagerpoint.example/tanager/policy"
)

// basePolicy returns the policy records that every Site starts with: the ranks
// urgent, standard and bulk; model "m" with versions "m-1" and "m-2", and model
// "large" with version "large-1"; cascade "auto"; service "desk"; two organisations
// and an operator; and the endpoints of the models and of the service.
func basePolicy(opt Options) []string {
	out := []string{
		Record("rank", "urgent", `{"order":0,"deadline_ms":10000,"floor":0.2,"engine_priority":0}`),
		Record("rank", "standard", `{"order":1,"deadline_ms":30000,"floor":0.2,"headroom":0.1,"engine_priority":1}`),
		Record("rank", "bulk", `{"order":2,"deadline_ms":60000,"floor":0.1,"headroom":0.2,"engine_priority":2}`),
		Record("model", "m", `{"stable_version":"m-1"}`),
		Record("model", "large", `{"stable_version":"large-1"}`),
		Record("version", "m-1", `{"model":"m","cost":{"input":1,"output":2},"quality":0.8}`),
		Record("version", "m-2", `{"model":"m","cost":{"input":1,"output":2},"quality":0.8}`),
		Record("version", "large-1", `{"model":"large","cost":{"input":10,"output":20},"quality":0.95}`),
		Record("cascade", "auto", `{"models":["m","large"],"quality_target":0.85,"rated_share":0.5}`),
		Record("service", "desk", `{"cost_per_call":100,"timeout_ms":4000}`),
		Record("organisation", "chest", fmt.Sprintf(`{"key_hashes":[%q],"allowed_models":["*"],"allowed_services":["desk"]}`, policy.HashKey(CallerKey))),
		Record("organisation", "verse", fmt.Sprintf(`{"key_hashes":[%q],"allowed_models":["m"],"allowed_ranks":["standard"]}`, policy.HashKey(RestrictedKey))),
		Record("operator", "ops", fmt.Sprintf(`{"key_hashes":[%q]}`, policy.HashKey(OperatorKey))),
	}
	for n := 1; n <= opt.Engines; n++ {
		out = append(out, EngineRecord(n, ""))
	}
	for n := 1; n <= opt.Plains; n++ {
		out = append(out, Record("endpoint", fmt.Sprintf("desk-%d", n),
			fmt.Sprintf(`{"kind":"PLAIN","url":"http://%s","failure_domain":%q,"service":"desk","slots":8}`, PlainAddress(n), FailureDomain(n))))
	}
	return out
}

// EngineRecord returns the endpoint record of engine-N. extraFields is JSON that is
// added to the spec, such as `,"draining":true`.
func EngineRecord(n int, extraFields string) string {
	return Record("endpoint", fmt.Sprintf("engine-%d", n), fmt.Sprintf(
		`{"kind":"ENGINE","url":"http://%s","failure_domain":%q,"versions":["m-1","m-2","large-1"],"slots":8,"echoes_request_id":true%s}`,
		EngineAddress(n), FailureDomain(n), extraFields))
}

// Record returns the JSON text of a policy record. spec is JSON.
func Record(kind, id, spec string) string {
	return fmt.Sprintf(`{"schema_version":2,"kind":%q,"id":%q,"spec":%s}`, kind, id, spec)
}
