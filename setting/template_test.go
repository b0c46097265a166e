package setting_test

import (
	"os"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/rpc"
)

// render fills in the deploy template as the users' platform does: {{name}} becomes
// the value of that name, or nothing. A section {{#name}}...{{/name}} is kept only if
// name has a value, and {{.}} within it becomes that value.
func render(template string, values map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/[a-z0-9_.]+\}\}`)
	out := section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		value, ok := values[parts[1]]
		if !ok {
			return ""
		}
		return regexp.MustCompile(`\{\{\.\}\}`).ReplaceAllString(parts[2], value)
	})
	return regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`).ReplaceAllStringFunc(out, func(text string) string {
		return values[text[2:len(text)-2]]
	})
}

func TestDeployTemplateRendersValidSettings(t *testing.T) {
	template, err := os.ReadFile("../deploy/router.ini")
	qt.Assert(t, err, qt.IsNil)
	values := map[string]string{
		"node_name": "edge-np-central-a-1", "region": "np-central", "zone": "np-central-a", "ip": "10.1.0.40",
		"internal_ports.0": "7340", "platform.address": "10.200.1.7:8223",
		"listen.frontend": "10.1.0.40:8227", "listen.readiness": "10.1.0.40:8220", "listen.control": "10.1.0.40:8229", "listen.directory": "10.1.0.40:8224",
	}
	// A deployment may set no bounds; the settings must still be valid.
	qt.Assert(t, load(t, render(string(template), values), &rpc.RouterSettings{}), qt.IsNil)

	for name, value := range map[string]string{
		"seeds": "10.1.0.40:8229,10.2.0.29:8229", "bounds.grace_s": "8.5", "bounds.retry_window_s": "10",
		"bounds.retry_budget_ratio": "0.9", "bounds.retry_slack": "56.5", "bounds.session_s": "5",
	} {
		values[name] = value
	}
	var rs rpc.RouterSettings
	qt.Assert(t, load(t, render(string(template), values), &rs), qt.IsNil)
	qt.Assert(t, rs.GetServing().GetDrainLimit().AsDuration(), qt.Equals, 8500*time.Millisecond)
	qt.Assert(t, rs.GetServing().GetRetrySlack(), qt.Equals, 56.5)
	qt.Assert(t, rs.GetPeers().GetSeeds(), qt.HasLen, 2)
}
