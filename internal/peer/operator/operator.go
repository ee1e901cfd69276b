// Package operator is the system's side of operators: accepting a
// configuration, and telling what this proxy observes.
package operator

import (
	"context"
	"crypto/subtle"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"goa.design/goa/v3/security"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	generated "eelgrassladder.example/eelgrassladder/gen/operator"
	"eelgrassladder.example/eelgrassladder/internal/host/fleet"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
)

// settleTries is how often the store is read to learn whether a change whose
// answer was lost has taken effect.
const settleTries = 3

// Adopter puts an accepted configuration into force and spreads it.
type Adopter interface {
	// Adopt puts a configuration into force if it is newer.
	Adopt(text string, version uint64, changeID string) bool
	// PushChanges tells some other proxies at once.
	PushChanges()
}

// Observer tells what this proxy observes of the groups.
type Observer func() []*generated.ObservedGroup

// Service implements the generated service.
type Service struct {
	// token is what operators must show; never empty.
	token string
	// dataCentre is that of this proxy.
	dataCentre string
	store      eelgrassladder.Store
	timer      eelgrassladder.Timer
	versions   *configurations.Table
	adopter    Adopter
	observe    Observer
	burn       *burn.Table
}

// New returns the operators' service of a proxy.
func New(
	token, dataCentre string, s eelgrassladder.Store, t eelgrassladder.Timer, v *configurations.Table,
	a Adopter, o Observer, b *burn.Table,
) *Service {
	return &Service{token: token, dataCentre: dataCentre, store: s, timer: t, versions: v, adopter: a, observe: o, burn: b}
}

// JWTAuth checks the operators' token.
func (s *Service) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
		return ctx, generated.Unauthorized("the token is not the operators' token")
	}
	return ctx, nil
}

// Configuration reads the configuration in force here.
func (s *Service) Configuration(context.Context, *generated.ConfigurationPayload) (*generated.ConfigurationVersion, error) {
	return translate(s.versions.Current()), nil
}

// History lists the versions that were seen in force here.
func (s *Service) History(context.Context, *generated.HistoryPayload) ([]*generated.ConfigurationVersion, error) {
	var all []*generated.ConfigurationVersion
	for _, c := range s.versions.History() {
		if c.Version > 0 {
			all = append(all, translate(c))
		}
	}
	return all, nil
}

// Configure accepts a configuration: checked whole, swapped in the store
// against the version that it was based on, and then put into force.
func (s *Service) Configure(ctx context.Context, p *generated.ConfigurePayload) (*generated.ConfigurationVersion, error) {
	_, findings := configuration.Parse("configuration", []byte(p.Text))
	if len(findings) > 0 {
		return nil, generated.Invalid(findings.Lines())
	}
	wanted := eelgrassladder.Entry{Key: fleet.ConfigurationKey, Value: p.Text, ChangeID: p.ChangeID}
	e, err := s.store.Swap(ctx, wanted, p.Based)
	if err != nil {
		if e, err = s.settle(ctx, wanted, p.Based, err); err != nil {
			return nil, err
		}
	}
	s.adopter.Adopt(e.Value, e.Version, e.ChangeID)
	s.adopter.PushChanges()
	klog.InfoS("Configuration accepted", "Version", e.Version, "ChangeID", e.ChangeID)
	return &generated.ConfigurationVersion{Version: e.Version, ChangeID: e.ChangeID, Text: e.Value}, nil
}

// settle finds out what became of a change: the store holds it, or holds
// another version, or still the one that it was based on. In the last case a
// change that is under way may yet take effect, so it is tried again; only
// one try can succeed. Without an answer the outcome is unknown.
func (s *Service) settle(ctx context.Context, wanted eelgrassladder.Entry, based uint64, cause error) (eelgrassladder.Entry, error) {
	for range settleTries {
		held, err := s.store.Read(ctx, fleet.ConfigurationKey)
		if err != nil {
			timer.Pause(ctx, s.timer, settlePause)
			continue
		}
		if held.ChangeID == wanted.ChangeID && held.Version > based {
			return held, nil
		}
		if held.Version != based {
			return held, s.conflict(held, wanted, based, cause)
		}
		set, err := s.store.Swap(ctx, wanted, based)
		if err == nil {
			return set, nil
		}
		cause = err
	}
	return eelgrassladder.Entry{}, generated.Unknown("the store has not said whether the change took effect; read it back")
}

// conflict words the answer when the store holds another version. If the
// change may have taken effect and was then overwritten, that is not a
// conflict but an unknown outcome.
func (s *Service) conflict(held, wanted eelgrassladder.Entry, based uint64, cause error) error {
	if !errors.Is(cause, eelgrassladder.ErrConflict) && held.Version > based+1 {
		return generated.Unknown(fmt.Sprintf(
			"version %d is in the store; whether change %s was in force before it is not known", held.Version, wanted.ChangeID))
	}
	return generated.Conflict(fmt.Sprintf(
		"the change was based on version %d and version %d is in force", based, held.Version))
}

// settlePause is the wait before the store is asked again.
const settlePause = 200 * time.Millisecond

// Groups lists groups, members and terms as observed here.
func (s *Service) Groups(context.Context, *generated.GroupsPayload) ([]*generated.ObservedGroup, error) {
	return s.observe(), nil
}

// Burn counts good and bad requests per class and window.
func (s *Service) Burn(context.Context, *generated.BurnPayload) ([]*generated.BurnCount, error) {
	var all []*generated.BurnCount
	for _, c := range s.burn.Counts(s.timer.Now()) {
		all = append(all, &generated.BurnCount{
			Class: c.Class, DataCentre: s.dataCentre, Window: c.Window, CoveredSeconds: c.Covered.Seconds(),
			Good: c.Good, Bad: c.Bad, Share: c.Share,
		})
	}
	return all, nil
}

// translate turns a configuration into the service's type.
func translate(c configuration.Configuration) *generated.ConfigurationVersion {
	return &generated.ConfigurationVersion{Version: c.Version, ChangeID: c.ChangeID, Text: c.Text}
}
