package failover

import (
	"context"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// eraState is a holdingState in an era of the store, with other proxies.
type eraState struct {
	holdingState
	era     uint64
	proxies map[string]string
}

func (s *eraState) Era() uint64                { return s.era }
func (s *eraState) Message() heartbeat.Message { return heartbeat.Message{Era: s.era} }
func (s *eraState) Receive(heartbeat.Message)  {}
func (s *eraState) Proxies() map[string]string { return s.proxies }
func (s *eraState) DepartedProxies() (map[string]string, bool) {
	return map[string]string{}, true
}

func (s *eraState) RegisteredProxies(context.Context) (map[string]string, error) {
	return map[string]string{}, nil
}

// askedInformer collects the addresses of the proxies that are asked for their records, all of
// which are settled.
type askedInformer struct {
	Informer
	// mutex guards asked. No other lock is taken while it is held.
	mutex sync.Mutex
	asked []string
	// onAsk is called before each answer; nil for nothing.
	onAsk func()
}

func (a *askedInformer) ExchangeOnce(_ context.Context, address string, m heartbeat.Message) (heartbeat.Message, error) {
	a.mutex.Lock()
	a.asked = append(a.asked, address)
	a.mutex.Unlock()
	if a.onAsk != nil {
		a.onAsk()
	}
	return heartbeat.Message{Era: m.Era, Settled: true}, nil
}

// TestARecordIsWrittenInTheEraInWhichItWasDecided guards against a record that counts as confirmed
// in an era of the store that began after the proxies and members were asked. The group had no
// record, so that the store's next era does not refuse the write.
func TestARecordIsWrittenInTheEraInWhichItWasDecided(t *testing.T) {
	f := newOrderFixture()
	f.controller.state = &eraState{era: 3}
	next, err := revision.New(3, 8)
	assert.NilError(t, err)
	f.store.revision = next
	record := leadership.Record{Group: "g"}.WithPrimary("m-1", 1).WithEra(2)
	_, err = f.controller.write(context.Background(), &record, nil)
	assert.ErrorContains(t, err, "era 3")
	written, err := leadership.Parse("g", f.store.puts[0].Value, next)
	assert.NilError(t, err)
	assert.Assert(t, !written.WrittenIn(3))
}

// TestProxiesThatToldInAFormerEraAreAskedAgain guards against a record that is confirmed without
// asking a proxy, because that one had told its records in the era before. This proxy notes the new
// era while it asks another one.
func TestProxiesThatToldInAFormerEraAreAskedAgain(t *testing.T) {
	f := newOrderFixture()
	state, informer := &eraState{era: 2, proxies: map[string]string{"p": "10.0.0.1:1"}}, &askedInformer{}
	f.controller.state, f.controller.informer = state, informer
	f.controller.enterEra()
	_, err := f.controller.recallRecords(context.Background(), 2)
	assert.NilError(t, err)
	state.era, state.proxies = 3, map[string]string{"p": "10.0.0.1:1", "q": "10.0.0.2:1"}
	informer.asked, informer.onAsk = nil, f.controller.enterEra
	_, err = f.controller.recallRecords(context.Background(), 3)
	assert.ErrorContains(t, err, "era 2")
	f.controller.enterEra()
	_, err = f.controller.recallRecords(context.Background(), 3)
	assert.NilError(t, err)
	slices.Sort(informer.asked)
	assert.DeepEqual(t, informer.asked, []string{"10.0.0.1:1", "10.0.0.2:1"})
}
