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
	Take(ctx context.Context, t team.Team, priority int) bool
	// GiveBack gives back the right to an operation of which nothing was sent to an
	// endpoint. Asked is the boot time at which Take was called for it.
	GiveBack(t team.Team, asked time.Duration)
}

// Lenders are the other proxies, from which this one borrows tokens of teams. A token is the
// right to run one operation.
type Lenders interface {
	// Borrow asks the proxy at an address for tokens of a team, and returns how many this
	// proxy has got, at most as many as it asked for. After an error it has none. Only ctx
	// bounds the call.
	Borrow(ctx context.Context, address, team string, tokens, reserve int) (int, error)
}
