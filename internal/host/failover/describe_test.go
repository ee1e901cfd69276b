package failover

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

func TestTheAnswersOfAllAskedMembersAreDescribed(t *testing.T) {
	described := describeAnswers([]answer{
		{
			endpoint: topology.Endpoint{ID: "i-2", StartedAt: 1764957600123},
			status:   topology.Status{Term: 6, Received: position.Position{Term: 6, Log: 2369}, SuspendedTerm: 7},
			at:       time.Hour - 12*time.Millisecond,
		},
		{endpoint: topology.Endpoint{ID: "i-1", StartedAt: 1764957600456}, err: errNotAsked},
		{endpoint: topology.Endpoint{ID: "i-3"}, err: errors.New("i/o timeout"), at: time.Hour - 300*time.Millisecond},
	}, time.Hour)
	assert.DeepEqual(t, described, []string{
		"i-1=?,Started=1764957600456,Error=not asked",
		"i-2=6.2369,Term=6,Suspended=7,Primary=false,AgeMs=12,Started=1764957600123",
		"i-3=?,AgeMs=300,Started=0,Error=i/o timeout",
	})
}
