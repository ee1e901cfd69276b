package eelgrassladder

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/team"
)

// QuotaValidity is how long after Take the operation's statements may be sent to an endpoint
// for the first time. Endpoints count operations when they run.
const QuotaValidity = 500 * time.Millisecond

// Quotas limits how many operations each team runs, over all proxies together.
type Quotas interface {
	// Take takes the right to run one operation of a team, and waits briefly for it if this
	// proxy has none left but others may. It reports false if the team is over its limit.
	// The operation must then be refused.
	Take(ctx context.Context, t team.Team) bool
	// GiveBack gives back the right to an operation of which nothing was sent to an
	// endpoint.
	GiveBack(t team.Team)
}
