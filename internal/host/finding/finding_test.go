package finding_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
)

// Each structural fault is reported with its line and path. The share of 1.5 is
// not reported, because values are only checked if the structure is valid.
func TestStructuralFaultsHideInvalidValues(t *testing.T) {
	text := `{
  "Classes": [
    {"Name": "deposits", "Paying": true, "Target": {"Share": 1.5, "Within": "400ms"}, "Weight": 3},
    {"Name": "gallery", "Paying": "no", "Target": {"Share": 0.9, "Within": "soon"}},
  ],
  "Endpoints": ["10.0.0.1"],
}`
	_, findings := configuration.Parse("c.hujson", []byte(text))
	got := strings.Join(findings.Lines(), "\n")
	assert.Equal(t, got, `c.hujson:3: /Classes/0/Weight: unknown key
c.hujson:4: /Classes/1/Paying: must be true or false
c.hujson:4: /Classes/1/Target/Within: "soon" must be a duration such as "250ms" or "5s"
c.hujson:6: /Endpoints: unknown key`)
}

func TestValuesAreCheckedIfTheStructureIsValid(t *testing.T) {
	text := `{
  "Classes": [
    {"Name": "deposits", "Paying": true, "Target": {"Share": 1.5, "Within": "0s"}},
    {"Name": "deposits", "Paying": true, "Target": {"Share": 0.9, "Within": "1s"}},
  ],
  "Callers": [{"Name": "owners", "Verifier": "secret", "Databases": ["a"], "Classes": ["gallery"]}],
}`
	_, findings := configuration.Parse("c.hujson", []byte(text))
	got := strings.Join(findings.Lines(), "\n")
	assert.Equal(t, got, "c.hujson:3: /Classes/0/Target/Share: must be above 0 and below 1\n"+
		"c.hujson:3: /Classes/0/Target/Within: must be above zero\n"+
		"c.hujson:4: /Classes/1/Name: class \"deposits\" stands twice\n"+
		"c.hujson:6: /Callers/0/Verifier: must be a SCRAM-SHA-256 verifier; make one with `eelgrassladder verifier`\n"+
		"c.hujson:6: /Callers/0/Classes/0: class \"gallery\" is not among /Classes")
	assert.Assert(t, !strings.Contains(got, "secret"), "a finding contains a secret")
}

// Expects a finding for each of: Endpoints/User, Operators/TokenFile, the four
// addresses in Listen, of which one is a name and three are missing, and
// Platform/Address.
func TestSettingsReportEveryMissingOrInvalidValue(t *testing.T) {
	_, findings := settings.Parse("s.hujson", []byte(`{"Name": "p", "DataCentre": "a", "Listen": {"Postgres": "localhost:5"}}`))
	assert.Equal(t, len(findings), 7, "%v", findings)
}

func TestTheExampleConfigurationsAreValid(t *testing.T) {
	for _, file := range []string{"../../../examples/magnolia/configuration.hujson", "../../../examples/homokforma/configuration.hujson"} {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, findings := configuration.Parse(file, text)
		assert.NilError(t, findings.Err())
	}
}
