package team_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/team"
)

// TestAKeyOfTwoTeamsIsNobodys guards against a client that runs statements in the name of
// another team.
func TestAKeyOfTwoTeamsIsNobodys(t *testing.T) {
	d := team.NewDirectory(
		team.Entry{Team: team.Team{Name: "bakery"}, Keys: []string{"k1", "shared", "k1"}},
		team.Entry{Team: team.Team{Name: "hotel"}, Keys: []string{"shared", "k2"}},
		team.Entry{Team: team.Team{Name: "school"}, Keys: []string{"shared"}},
	)
	for key, want := range map[string]string{"k1": "bakery", "k2": "hotel", "shared": "", "": "", "k3": ""} {
		found, ok := d.ByKey(key)
		assert.Equal(t, found.Name, want, key)
		assert.Equal(t, ok, want != "", key)
	}
	assert.Equal(t, d.SharedKeys(), 1)
}

// TestADirectoryIsNotChangedByWith guards against a version of the configuration that changes
// while operations use it.
func TestADirectoryIsNotChangedByWith(t *testing.T) {
	d := team.NewDirectory(team.Entry{Team: team.Team{Name: "bakery"}.WithLimit(5, 10), Keys: []string{"k1"}})
	changed := d.With(team.Entry{Team: team.Team{Name: "hotel"}, Keys: []string{"k1"}})
	_, ok := changed.ByKey("k1")
	assert.Assert(t, !ok)
	found, ok := d.ByKey("k1")
	assert.Assert(t, ok && found.Limited && found.Rate == 5 && found.Burst == 10, "%+v", found)
	assert.Equal(t, len(d.All()), 1)
	assert.Equal(t, len(changed.All()), 2)
}
