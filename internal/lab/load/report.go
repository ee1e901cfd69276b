package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Report is the result of a load as its callers saw it. Its fields are encoded as
// JSON under their own names.
type Report struct {
	Workload string
	Seed     uint64
	Seconds  float64
	// Baseline is true if the proxies admitted requests in order of arrival and read
	// from primaries only. The caller of Finish sets it.
	Baseline bool
	// PayingRate and FreeRate are the offered requests a second.
	PayingRate float64
	FreeRate   float64
	Classes    []ClassReport
	// ReplicaReadShare is the share of queries that ran at replicas.
	ReplicaReadShare float64
	// FailoverGapMs holds, for each fault of a primary or of the proxy that owns a
	// group, the milliseconds until the first acknowledgement of a write that was
	// sent after the fault; minus one if there was none.
	FailoverGapMs []float64
	// UnknownOutcomes counts requests whose callers can't know whether they ran.
	UnknownOutcomes int
	// TermChanges counts new terms during the load.
	TermChanges int
	// Reconnects counts requests that were sent again because a proxy that shut down
	// closed the connection before it read them.
	Reconnects int
	Violations Violations
	// Notes describe the first violations.
	Notes []string `json:",omitempty"`
	// Codes counts, by SQLSTATE, the requests whose outcome was not Done. "connect" and
	// "connection" stand for errors without an SQLSTATE.
	Codes map[string]int
}

// ClassReport is the part of a report for one class. Times count from the intended start
// of requests.
type ClassReport struct {
	Name    string
	Offered int
	Done    int
	// InTime counts requests that were done within WithinMs.
	InTime  int
	NotRun  int
	Unknown int
	// Attainment is InTime divided by Offered. Target is the share that the
	// configuration demands.
	Attainment float64
	Target     float64
	// WithinMs is the target latency of the class.
	WithinMs float64
	P50Ms    float64
	P99Ms    float64
	P999Ms   float64
	// RefusalP50Ms is the median time to a refusal.
	RefusalP50Ms float64
	// DonePerSecond is Done divided by the seconds of the load.
	DonePerSecond float64
}

// tally collects the requests of one class.
type tally struct {
	class    class.Class
	offered  int
	inTime   int
	outcomes map[request.Outcome]int
	times    *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

// The range of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

func newTally(c class.Class) *tally {
	return &tally{
		class: c, outcomes: map[request.Outcome]int{},
		times:    hdrhistogram.New(minMicros, maxMicros, significantDigits),
		refusals: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// add counts a request. latency is the time from its intended start to its end.
func (t *tally) add(res result, latency time.Duration) {
	t.offered++
	t.outcomes[res.outcome]++
	switch res.outcome {
	case request.Done:
		_ = t.times.RecordValue(max(latency.Microseconds(), minMicros))
		if latency <= t.class.TargetLatency() {
			t.inTime++
		}
	case request.NotRun:
		_ = t.refusals.RecordValue(max(latency.Microseconds(), minMicros))
	}
}

// report returns the part of the report for the class.
func (t *tally) report(seconds float64) ClassReport {
	c := ClassReport{
		Name: t.class.Name, Offered: t.offered, Done: t.outcomes[request.Done], InTime: t.inTime,
		NotRun: t.outcomes[request.NotRun], Unknown: t.outcomes[request.Unknown],
		Target: t.class.Target.Share, WithinMs: float64(t.class.TargetLatency().Milliseconds()),
		P50Ms: percentileMs(t.times, 50), P99Ms: percentileMs(t.times, 99), P999Ms: percentileMs(t.times, 99.9),
		RefusalP50Ms: percentileMs(t.refusals, 50), DonePerSecond: float64(t.outcomes[request.Done]) / seconds,
	}
	if t.offered > 0 {
		c.Attainment = float64(t.inTime) / float64(t.offered)
	}
	return c
}

// percentileMs returns a percentile, from 0 to 100, in milliseconds.
func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// Class returns the part of the report for a class; empty if there is none.
func (r Report) Class(name string) ClassReport {
	i := slices.IndexFunc(r.Classes, func(c ClassReport) bool { return c.Name == name })
	if i < 0 {
		return ClassReport{}
	}
	return r.Classes[i]
}

// Write writes the report as text.
func (r Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "Workload %s, seed %d, %.0f s, baseline %t, paying %.0f/s, free %.0f/s\n",
		r.Workload, r.Seed, r.Seconds, r.Baseline, r.PayingRate, r.FreeRate)
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "Class\tOffered\tDone\tNotRun\tUnknown\tAttainment\tTarget\tWithinMs\tP50Ms\tP99Ms\tP999Ms\tRefusalP50Ms\tDone/s")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.4f\t%.2f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\n", c.Name, c.Offered, c.Done,
			c.NotRun, c.Unknown, c.Attainment, c.Target, c.WithinMs, c.P50Ms, c.P99Ms, c.P999Ms, c.RefusalP50Ms, c.DonePerSecond)
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(w, "ReplicaReadShare %.3f  FailoverGapMs %.0f  UnknownOutcomes %d  TermChanges %d  Reconnects %d\n",
		r.ReplicaReadShare, r.FailoverGapMs, r.UnknownOutcomes, r.TermChanges, r.Reconnects)
	v := r.Violations
	fmt.Fprintf(w, "StaleReads %d  LostWrites %d  DoubledWrites %d  MixedTransactions %d  WrongAnswers %d  FalseNotRun %d  SupersededAcks %d\n",
		v.StaleReads, v.LostWrites, v.DoubledWrites, v.MixedTransactions, v.WrongAnswers, v.FalseNotRun, v.SupersededAcks)
	if len(r.Notes) > 0 {
		fmt.Fprintln(w, strings.Join(r.Notes, "\n"))
	}
	_, err := fmt.Fprintf(w, "Codes %v\n", r.Codes)
	return errors.WithStack(err)
}
