package experiment_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	"eelgrassladder.example/eelgrassladder/internal/lab/cluster"
	"eelgrassladder.example/eelgrassladder/internal/lab/experiment"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/load"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// maxGapMs bounds the time without acknowledged writes at a change of primary.
const maxGapMs = 3000.0

func TestMain(m *testing.M) {
	if err := logging.Configure(io.Discard, 0); err != nil {
		panic(err)
	}
	m.Run()
}

// trial returns a trial of four seconds, in which all faults start after one second.
func trial(seed uint64, w workload.Workload, kinds ...experiment.FaultKind) experiment.Trial {
	t := experiment.Trial{
		Plan: load.Plan{
			Workload: w, Seconds: 4, Seed: seed, PayingRate: 120, FreeRate: 80, Sessions: 40, NamedShare: 0.4, ProbeGroup: w.Groups[0],
		},
		Proxies:    5,
		Conditions: group.Conditions{ServiceTime: 2 * time.Millisecond, ConnectTime: w.ConnectTime, ReceiveDelay: w.DataCentreLatency, ApplyDelay: 50 * time.Millisecond},
	}
	for _, k := range kinds {
		t.Faults = append(t.Faults, experiment.Fault{At: time.Second, Duration: 1500 * time.Millisecond, Kind: k, Delay: 800 * time.Millisecond})
	}
	return t
}

// run runs a trial and returns its report.
func run(t *testing.T, planned experiment.Trial) load.Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	report, err := experiment.Run(ctx, planned)
	assert.NilError(t, err)
	return report
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	for i, c := range []struct {
		name  string
		kinds []experiment.FaultKind
	}{
		{"primary crashes", []experiment.FaultKind{experiment.Crash}},
		{"primary pauses", []experiment.FaultKind{experiment.Pause}},
		{"primary is cut off from its peers", []experiment.FaultKind{experiment.Isolate}},
		{"primary crashes while the store is down", []experiment.FaultKind{experiment.StoreDown, experiment.Crash}},
		{"primary and its owner go at once", []experiment.FaultKind{experiment.KillOwner, experiment.Crash}},
		{"answers of the primary are lost", []experiment.FaultKind{experiment.LoseAnswers}},
		{"answers to fences and promotions are lost", []experiment.FaultKind{experiment.LoseCommands, experiment.Crash}},
		{"replicas lag", []experiment.FaultKind{experiment.Lag, experiment.SlowReceive}},
		{"a replica crashes and the owner is lost", []experiment.FaultKind{experiment.CrashReplica, experiment.KillOwner}},
		{"the primary leaves", []experiment.FaultKind{experiment.Leave}},
	} {
		planned := trial(uint64(101+i), workload.Magnolia(), c.kinds...)
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			report := run(t, planned)
			assert.Equal(t, report.Violations, load.Violations{}, strings.Join(report.Notes, "\n"))
			for _, gap := range report.FailoverGapMs {
				assert.Assert(t, gap >= 0 && gap < maxGapMs, "gap %v", gap)
			}
		})
	}
}

func TestNoPromotionForALaggingReplica(t *testing.T) {
	report := run(t, trial(7, workload.Homokforma(), experiment.Lag, experiment.SlowReceive))
	assert.Equal(t, report.TermChanges, 0)
}

func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	planned := trial(8, workload.Homokforma(), experiment.RollingRestart)
	planned.Plan.Seconds = 8
	report := run(t, planned)
	assert.Equal(t, report.Violations, load.Violations{})
	assert.Equal(t, report.UnknownOutcomes, 0, "requests were cut off: %v", report.Codes)
	assert.Equal(t, report.TermChanges, 0, "a handover raised a term")
}

// TestCheckersDetectEachViolation breaks one guarantee at a time, by a defect of the
// members or a wrong configuration of the proxies, and expects the load to report
// the violation.
func TestCheckersDetectEachViolation(t *testing.T) {
	withDefect := func(d group.Defect) func(*cluster.Cluster) {
		return func(cl *cluster.Cluster) {
			for _, g := range cl.Groups {
				for _, m := range g.Members() {
					m.SetConditions(m.Conditions().WithDefect(d))
				}
			}
		}
	}
	idempotent := workload.Magnolia()
	idempotent.Configuration = strings.ReplaceAll(idempotent.Configuration, `"Idempotent": false`, `"Idempotent": true`)
	cases := []struct {
		name   string
		trial  experiment.Trial
		inject func(*cluster.Cluster)
		count  func(load.Violations) int
	}{
		{"lost writes", trial(1, workload.Magnolia()), withDefect(group.DropCommits), func(v load.Violations) int { return v.LostWrites }},
		{"false not run", trial(2, workload.Magnolia()), withDefect(group.DenyCommits), func(v load.Violations) int { return v.FalseNotRun }},
		{"mixed transactions", trial(3, workload.Magnolia()), withDefect(group.KeepSettings), func(v load.Violations) int { return v.MixedTransactions }},
		{"wrong answers", trial(4, workload.Magnolia()), withDefect(group.SwapAnswers), func(v load.Violations) int { return v.WrongAnswers }},
		{"superseded acks", trial(5, workload.Magnolia(), experiment.Isolate), withDefect(group.OverstateReceived), func(v load.Violations) int { return v.SupersededAcks }},
		{"doubled writes", trial(6, idempotent, experiment.LoseAnswers), nil, func(v load.Violations) int { return v.DoubledWrites }},
		{"stale reads", trial(7, workload.Magnolia()), nil, func(v load.Violations) int { return v.StaleReads }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.trial.InjectDefect = c.inject
			if c.name == "stale reads" {
				c.trial.Plan.DropTokens = true
				c.trial.Plan.NamedShare = 0
				c.trial.Plan.Sessions = 6
				c.trial.Conditions.ApplyDelay = 800 * time.Millisecond
			}
			report := run(t, c.trial)
			assert.Assert(t, c.count(report.Violations) > 0, "%+v", report.Violations)
		})
	}
}
