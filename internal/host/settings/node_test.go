package settings_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/policy/quota"
)

// nodeSettings returns the text of settings with further lines.
func nodeSettings(lines ...string) []byte {
	return []byte(`{"Name": "p", "DataCentre": "z", "Callers": "127.0.0.1:1", "Readiness": "127.0.0.1:2", "Metrics": "127.0.0.1:3",
		"Sibling": "127.0.0.1:4", "Store": "127.0.0.1:5", "Promotion": "127.0.0.1:6", "GraceSeconds": 4, "Descriptors": 100,
		"MemoryMegabytes": 100, "Contracts": ["tenants", "quota"], ` + strings.Join(lines, "\n") + `}`)
}

// TestBoundsOfQuotasHaveDefaults guards against a deployment whose settings lack the bounds, and
// in which every operation is refused, and against a bound of zero that counts as missing.
func TestBoundsOfQuotasHaveDefaults(t *testing.T) {
	n, findings := settings.ParseNode("f", nodeSettings())
	assert.NilError(t, findings.Err())
	assert.Equal(t, n.QuotaBounds(), quota.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20})
	n, findings = settings.ParseNode("f", nodeSettings(`"QuotaWindowSeconds": 2.5,`, `"QuotaOverrun": 0,`, `"QuotaSlack": 0,`))
	assert.NilError(t, findings.Err())
	assert.Equal(t, n.QuotaBounds(), quota.Bounds{Window: 2500 * time.Millisecond})
	_, findings = settings.ParseNode("f", nodeSettings(`"QuotaWindowSeconds": 0,`, `"QuotaOverrun": -1,`, `"QuotaSlack": -1,`))
	assert.Equal(t, len(findings), 3)
}
