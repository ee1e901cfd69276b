// Package quota limits how many operations each team runs, over all proxies together.
package quota

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
)

// Unlimited is the eelgrassladder.Quotas of a system without limits.
type Unlimited struct{}

// Take reports true.
func (Unlimited) Take(context.Context, team.Team, int) bool { return true }

// GiveBack does nothing.
func (Unlimited) GiveBack(team.Team, time.Duration) {}

// Lend lends nothing.
func (Unlimited) Lend(string, int, int) int { return 0 }

// Refresh does nothing.
func (Unlimited) Refresh() {}

// Start does nothing.
func (Unlimited) Start(*task.Group) {}
