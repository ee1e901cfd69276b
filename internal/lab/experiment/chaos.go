package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/load"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// The size of a chaos trial.
const (
	chaosSpacing  = 1500 * time.Millisecond
	chaosShortest = 300 * time.Millisecond
	chaosLongest  = 4 * time.Second
	chaosRate     = 150
	chaosSessions = 50
	chaosProxies  = 5
	chaosService  = 2 * time.Millisecond
	chaosQuiet    = 2 * time.Second
)

// chaosKinds are the faults that chaos draws from, the frequent ones twice.
var chaosKinds = []Kind{
	Crash, Crash, Pause, Isolate, Isolate, LoseAnswers, Lag, Far, StoreDown, StoreSlow,
	KillProxy, KillOwner, KillOwner, LoseCommands, PauseReplica, CrashReplica, Leave,
}

// Chaos returns the trial of a seed: a workload and faults drawn from the
// brief's list, which may come together and twice.
func Chaos(seed uint64, length time.Duration) Trial {
	random := rand.New(rand.NewPCG(seed, 77))
	w := workload.Magnolia()
	if seed%2 == 0 {
		w = workload.Homokforma()
	}
	t := Trial{
		Plan: load.Plan{
			Workload: w, Seconds: length.Seconds(), Seed: seed, PayingRate: chaosRate, FreeRate: chaosRate,
			Sessions: chaosSessions, NamedShare: 0.3, ProbeGroup: w.Groups[0],
		},
		Proxies:    chaosProxies,
		Conditions: group.Conditions{ServiceTime: chaosService, ConnectTime: w.ConnectTime, ReceiveDelay: w.DataCentreLatency, ApplyDelay: 50 * time.Millisecond},
	}
	at := time.Second
	for at < length-chaosQuiet {
		t.Faults = append(t.Faults, Fault{
			At:    at,
			For:   chaosShortest + time.Duration(random.Int64N(int64(chaosLongest-chaosShortest))),
			Kind:  chaosKinds[random.IntN(len(chaosKinds))],
			Group: random.IntN(len(w.Groups)),
			Proxy: random.IntN(chaosProxies),
			Lag:   time.Duration(random.IntN(1500)) * time.Millisecond,
		})
		at += time.Duration(random.ExpFloat64() * float64(chaosSpacing))
	}
	return t
}

// String describes a fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6d ms  %-14s group %d proxy %d for %d ms lag %d ms",
		f.At.Milliseconds(), f.Kind, f.Group, f.Proxy, f.For.Milliseconds(), f.Lag.Milliseconds())
}
