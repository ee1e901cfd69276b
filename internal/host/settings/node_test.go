package settings_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
)

// withoutClients is a settings file as the platform renders it, which names no limits for
// clients.
const withoutClients = `{"Name":"p","DataCentre":"z","Callers":"127.0.0.1:1","Readiness":"127.0.0.1:2","Metrics":"127.0.0.1:3",
"Sibling":"127.0.0.1:4","Store":"127.0.0.1:5","Promotion":"127.0.0.1:6","GraceSeconds":4,"Descriptors":4200,"MemoryMegabytes":184}`

// TestLimitsForClientsHaveDefaults guards against settings that have to name the limits, and
// against limits that leave nothing for the process.
func TestLimitsForClientsHaveDefaults(t *testing.T) {
	n, findings := settings.ParseNode("f", []byte(withoutClients))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, n.Clients.MessageTimeout(), 30*time.Second)
	assert.Equal(t, n.Clients.AnswerTimeout(), 5*time.Second)
	for clients, accepted := range map[string]bool{
		`{"Megabytes":64,"MessageSeconds":0.5,"AnswerSeconds":60}`: true, `{"Megabytes":100}`: false, `{"AnswerSeconds":-1}`: false,
	} {
		text := strings.TrimSuffix(withoutClients, "}") + `,"Clients":` + clients + "}"
		_, findings := settings.ParseNode("f", []byte(text))
		assert.Equal(t, len(findings) == 0, accepted, "%s: %v", clients, findings)
	}
}
