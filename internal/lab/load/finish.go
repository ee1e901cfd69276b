package load

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
)

// failoverGaps returns the milliseconds from each fault to the first
// acknowledgement of a write that was sent after the fault; minus one if there was
// none. The caller holds the mutex.
func (r *Run) failoverGaps() []float64 {
	gaps := []float64{}
	for _, f := range r.faults {
		gap := -1.0
		for _, a := range r.acknowledged[f.group] {
			ms := float64(a.at.Sub(f.at).Microseconds()) / 1000
			if a.sent.After(f.at) && (gap < 0 || ms < gap) {
				gap = ms
			}
		}
		gaps = append(gaps, gap)
	}
	return gaps
}

// Finish reads the tables of every group, compares them with the recorded outcomes
// of writes, closes the idle connections, and returns the report. Every fault must
// have ended. It fails if a group can't be read.
func (r *Run) Finish(ctx context.Context) (Report, error) {
	defer r.pools.close()
	byGroup := map[string]contents{}
	for _, g := range r.cluster.Groups {
		c, err := r.readGroup(ctx, g)
		if err != nil {
			return Report{}, err
		}
		byGroup[g.Name()] = c
	}
	r.ledger.verify(byGroup)
	primaryReads, replicaReads := r.countReads()
	primaryReads -= r.initialPrimaryReads
	replicaReads -= r.initialReplicaReads
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := Report{
		Workload: r.plan.Workload.Name, Seed: r.plan.Seed, Seconds: r.plan.Seconds,
		PayingRate: r.plan.PayingRate, FreeRate: r.plan.FreeRate,
		FailoverGapMs: r.failoverGaps(), UnknownOutcomes: r.unknownOutcomes, TermChanges: r.termChanges, Reconnects: r.reconnects,
		Violations: r.ledger.violations, Notes: r.ledger.notes, Codes: r.codes,
	}
	for _, name := range r.classNames {
		report.Classes = append(report.Classes, r.tallies[name].report(r.plan.Seconds))
	}
	if primaryReads+replicaReads > 0 {
		report.ReplicaReadShare = float64(replicaReads) / float64(primaryReads+replicaReads)
	}
	return report, nil
}

// readGroup reads the tables of a group through a proxy, in a class whose reads go to
// the primary.
func (r *Run) readGroup(ctx context.Context, g *group.Group) (contents, error) {
	c := contents{deposits: map[string]int{}, legs: map[string]map[int64]int{}}
	s := r.plan.Workload.Paying[0]
	conn, err := connect(ctx, r.cluster.Addresses()[0], s, g.Name())
	if err != nil {
		return c, err
	}
	defer func() { _ = conn.Close(ctx) }()
	if err := forEachRow(ctx, conn, "SELECT request, amount FROM deposits", func(requestName string, _ int64) { c.deposits[requestName]++ }); err != nil {
		return c, err
	}
	err = forEachRow(ctx, conn, "SELECT request, leg FROM legs", func(requestName string, leg int64) {
		if c.legs[requestName] == nil {
			c.legs[requestName] = map[int64]int{}
		}
		c.legs[requestName][leg]++
	})
	c.termStarts = g.Primary().TermStarts()
	return c, err
}

// forEachRow calls f with the two columns of each row of a query. It runs the query up
// to 20 times, 200 ms apart, because a change of primary may still be going on.
func forEachRow(ctx context.Context, c *pgx.Conn, query string, f func(string, int64)) error {
	var lastErr error
	for range 20 {
		rows, err := c.Query(ctx, query)
		if err == nil {
			type pair struct {
				name   string
				number int64
			}
			var pairs []pair
			pairs, err = pgx.CollectRows(rows, func(row pgx.CollectableRow) (pair, error) {
				var p pair
				err := row.Scan(&p.name, &p.number)
				return p, err
			})
			if err == nil {
				for _, p := range pairs {
					f(p.name, p.number)
				}
				return nil
			}
		}
		lastErr = err
		timer.Sleep(ctx, 200*time.Millisecond)
	}
	return errors.WithStack(lastErr)
}
