package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/load"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// The parameters of a chaos trial. The times between the starts of its faults are
// exponentially distributed with the mean chaosMeanInterval. No fault starts in its last
// chaosQuietTime.
const (
	chaosMeanInterval      = 1500 * time.Millisecond
	chaosMinDuration       = 300 * time.Millisecond
	chaosMaxDuration       = 4 * time.Second
	chaosRequestsPerSecond = 150
	chaosSessions          = 50
	chaosProxies           = 5
	chaosServiceTime       = 2 * time.Millisecond
	chaosQuietTime         = 2 * time.Second
)

// chaosKinds are the faults from which Chaos draws. A kind that is listed twice
// is twice as frequent.
var chaosKinds = []FaultKind{
	Crash, Crash, Pause, Isolate, Isolate, LoseAnswers, Lag, SlowReceive, StoreDown, StoreSlow,
	KillProxy, KillOwner, KillOwner, LoseCommands, PauseReplica, CrashReplica, Leave,
}

// Chaos returns a trial of the given length, whose workload and faults are determined
// by the seed. Faults may overlap, also those of the same kind. Even seeds use the
// workload of Homokforma, odd ones that of Magnolia.
func Chaos(seed uint64, length time.Duration) Trial {
	random := rand.New(rand.NewPCG(seed, 77))
	w := workload.Magnolia()
	if seed%2 == 0 {
		w = workload.Homokforma()
	}
	t := Trial{
		Plan: load.Plan{
			Workload: w, Seconds: length.Seconds(), Seed: seed, PayingRate: chaosRequestsPerSecond, FreeRate: chaosRequestsPerSecond,
			Sessions: chaosSessions, NamedShare: 0.3, ProbeGroup: w.Groups[0],
		},
		Proxies:    chaosProxies,
		Conditions: group.Conditions{ServiceTime: chaosServiceTime, ConnectTime: w.ConnectTime, ReceiveDelay: w.DataCentreLatency, ApplyDelay: 50 * time.Millisecond},
	}
	faultStart := time.Second
	for faultStart < length-chaosQuietTime {
		t.Faults = append(t.Faults, Fault{
			At:       faultStart,
			Duration: chaosMinDuration + time.Duration(random.Int64N(int64(chaosMaxDuration-chaosMinDuration))),
			Kind:     chaosKinds[random.IntN(len(chaosKinds))],
			Group:    random.IntN(len(w.Groups)),
			Proxy:    random.IntN(chaosProxies),
			Delay:    time.Duration(random.IntN(1500)) * time.Millisecond,
		})
		faultStart += time.Duration(random.ExpFloat64() * float64(chaosMeanInterval))
	}
	return t
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%6d ms  %-14s group %d proxy %d for %d ms lag %d ms",
		f.At.Milliseconds(), f.Kind, f.Group, f.Proxy, f.Duration.Milliseconds(), f.Delay.Milliseconds())
}
