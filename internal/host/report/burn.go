// Package report merges what proxies count into reports for operators.
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

// Burn is the report on service-level burn. It is immutable.
type Burn struct {
	// Proxies is how many proxies were asked.
	Proxies int
	// Silent is how many of them did not answer; their counts are missing.
	Silent int
	// Rows are sorted by class, data centre and window.
	Rows []Row
}

// Row is one class in one window, in one data centre or, with an empty one,
// in all.
type Row struct {
	Class      string
	DataCentre string
	Window     string
	// CoveredSeconds is how much of the window the proxy with the shortest
	// memory has counted: proxies keep nothing through a restart.
	CoveredSeconds float64
	Good           uint64
	Bad            uint64
	// Target is the share of good requests that is asked for.
	Target float64
	// Attained is the share of good requests.
	Attained float64
	// BurnRate is the share of bad requests over the share allowed.
	BurnRate float64
	// BudgetLeft is the part of the window's error budget that is left; it is
	// negative when more was used.
	BudgetLeft float64
}

// windowOrder puts the shortest window first.
var windowOrder = map[string]int{"5m": 0, "1h": 1, "6h": 2, "3d": 3}

// MergeBurn adds the counts of all proxies.
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
		b.Rows = append(b.Rows, r.finish())
	}
	slices.SortFunc(b.Rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.DataCentre, y.DataCentre),
			cmp.Compare(windowOrder[x.Window], windowOrder[y.Window]))
	})
	return b
}

// finish returns the row with its shares.
func (r Row) finish() Row {
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
