// Package report produces reports for operators: the use of error budgets over
// all proxies, and explanations of requests and changes of primary from logs.
package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	generated "eelgrassladder.example/eelgrassladder/gen/operator"
)

// Burn reports how fast the classes use up their error budgets, the bad requests
// that their targets allow. It covers all proxies that were asked and is
// immutable.
type Burn struct {
	// Proxies is how many proxies were asked.
	Proxies int
	// Silent is how many of them returned no counts, whether they did not answer
	// or refused to. Rows lacks their counts.
	Silent int
	// Rows are sorted by class, data centre and window.
	Rows []Row
}

// Row is the burn of one class in one window.
type Row struct {
	Class string
	// DataCentre is empty in the row that covers all data centres.
	DataCentre string
	// Window is the length of the window: 5m, 1h, 6h or 3d.
	Window string
	// CoveredSeconds is the part of the window that every proxy has counted.
	// A proxy loses its counts when it restarts, so this is at most the time
	// since the latest start of a proxy.
	CoveredSeconds float64
	Good           uint64
	Bad            uint64
	// Target is the required share of good requests, from 0 to 1.
	Target float64
	// Attained is the share of good requests, from 0 to 1; 1 without requests.
	Attained float64
	// BurnRate is the share of bad requests divided by the share that the
	// target allows; 0 without requests or with a target of 1.
	BurnRate float64
	// BudgetLeft is the share of the window's error budget that is left,
	// 1-BurnRate. It is negative if more than the budget was used.
	BudgetLeft float64
}

// windowOrder maps each window to its rank by length.
var windowOrder = map[string]int{"5m": 0, "1h": 1, "6h": 2, "3d": 3}

// MergeBurn adds up the counts of all proxies, per data centre and over all data
// centres. The parameter proxies is the number of proxies asked, and silent the
// number of those that returned no counts.
func MergeBurn(counts []*generated.BurnCount, proxies, silent int) Burn {
	rows := map[[3]string]Row{}
	for _, c := range counts {
		for _, centre := range []string{c.DataCentre, ""} {
			key := [3]string{c.Class, centre, c.Window}
			r, ok := rows[key]
			if !ok || c.CoveredSeconds < r.CoveredSeconds {
				r.CoveredSeconds = c.CoveredSeconds
			}
			r.Class, r.DataCentre, r.Window, r.Target = c.Class, centre, c.Window, c.Share
			r.Good += c.Good
			r.Bad += c.Bad
			rows[key] = r
		}
	}
	b := Burn{Proxies: proxies, Silent: silent}
	for _, r := range rows {
		b.Rows = append(b.Rows, r.withShares())
	}
	slices.SortFunc(b.Rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.DataCentre, y.DataCentre),
			cmp.Compare(windowOrder[x.Window], windowOrder[y.Window]))
	})
	return b
}

// withShares returns the row with Attained, BurnRate and BudgetLeft, which follow
// from its counts and target.
func (r Row) withShares() Row {
	total := r.Good + r.Bad
	r.Attained, r.BudgetLeft = 1, 1
	if total == 0 {
		return r
	}
	r.Attained = float64(r.Good) / float64(total)
	if r.Target < 1 {
		r.BurnRate = (1 - r.Attained) / (1 - r.Target)
	}
	r.BudgetLeft = 1 - r.BurnRate
	return r
}

// Write prints the report as a table.
func (b Burn) Write(w io.Writer) error {
	fmt.Fprintf(w, "Proxies asked: %d, silent: %d\n", b.Proxies, b.Silent)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "Class\tDataCentre\tWindow\tCovered\tGood\tBad\tTarget\tAttained\tBurnRate\tBudgetLeft")
	for _, r := range b.Rows {
		centre := cmp.Or(r.DataCentre, "all")
		fmt.Fprintf(t, "%s\t%s\t%s\t%.0fs\t%d\t%d\t%.3f\t%.4f\t%.2f\t%.0f%%\n",
			r.Class, centre, r.Window, r.CoveredSeconds, r.Good, r.Bad, r.Target, r.Attained, r.BurnRate, 100*r.BudgetLeft)
	}
	return errors.WithStack(t.Flush())
}
