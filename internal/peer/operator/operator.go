// Package operator implements the service for operators: it accepts configurations,
// and reports the groups that this proxy observes and its counts of good and bad
// requests.
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

// resolveAttempts is the number of times that the store is read to find out whether a
// swap that failed has taken effect. See also resolveRetryDelay.
const resolveAttempts = 3

// Adopter applies an accepted configuration and distributes it.
type Adopter interface {
	// Adopt makes a configuration this proxy's current one if its version is newer,
	// and reports whether it did.
	Adopt(text string, version uint64, changeID string) bool
	// PushChanges sends heartbeats with recent changes to a few random proxies without
	// waiting for the next round.
	PushChanges()
}

// Observer returns what this proxy observes of the groups.
type Observer func() []*generated.ObservedGroup

// Service implements the generated service. Use New to make one.
type Service struct {
	// token is the bearer token of operators; never empty.
	token string
	// dataCentre is the data centre of this proxy.
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

// JWTAuth checks the operators' token. It returns Unauthorized for a wrong one.
func (s *Service) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
		return ctx, generated.Unauthorized("the token is not the operators' token")
	}
	return ctx, nil
}

// Configuration returns this proxy's current configuration.
func (s *Service) Configuration(context.Context, *generated.ConfigurationPayload) (*generated.ConfigurationVersion, error) {
	return encodeConfiguration(s.versions.Current()), nil
}

// History returns the latest versions that this proxy has applied, the oldest first.
func (s *Service) History(context.Context, *generated.HistoryPayload) ([]*generated.ConfigurationVersion, error) {
	var encoded []*generated.ConfigurationVersion
	for _, c := range s.versions.History() {
		if c.Version > 0 { // version 0 is the empty configuration of a new proxy
			encoded = append(encoded, encodeConfiguration(c))
		}
	}
	return encoded, nil
}

// Configure checks a configuration, replaces the version that it was based on in the
// store, and applies it. It returns Invalid with all findings, Conflict if the store
// holds another version, and Unknown if it can't be found out whether the replacement
// took effect.
func (s *Service) Configure(ctx context.Context, p *generated.ConfigurePayload) (*generated.ConfigurationVersion, error) {
	_, findings := configuration.Parse("configuration", []byte(p.Text))
	if len(findings) > 0 {
		return nil, generated.Invalid(findings.Lines())
	}
	wanted := eelgrassladder.Entry{Key: fleet.ConfigurationKey, Value: p.Text, ChangeID: p.ChangeID}
	e, err := s.store.Swap(ctx, wanted, p.Based)
	if err != nil {
		if e, err = s.resolveOutcome(ctx, wanted, p.Based, err); err != nil {
			return nil, err
		}
	}
	s.adopter.Adopt(e.Value, e.Version, e.ChangeID) // false if this proxy has that version or a newer one already
	s.adopter.PushChanges()
	klog.InfoS("Configuration accepted", "Version", e.Version, "ChangeID", e.ChangeID)
	return &generated.ConfigurationVersion{Version: e.Version, ChangeID: e.ChangeID, Text: e.Value}, nil
}

// resolveOutcome finds out whether a change took effect although its swap failed; cause
// is the error of that swap. The store holds the change, another version, or still the
// version that the change was based on. In the last case the first swap may yet take
// effect, so the swap is repeated; only one of them can succeed. If the store does not
// answer, the outcome is unknown.
func (s *Service) resolveOutcome(ctx context.Context, wanted eelgrassladder.Entry, based uint64, cause error) (eelgrassladder.Entry, error) {
	// lost is true once a swap has failed without proof that it did not take effect. A
	// later conflict does not show that the change was never in force.
	lost := !errors.Is(cause, eelgrassladder.ErrConflict)
	for range resolveAttempts {
		stored, err := s.store.Read(ctx, fleet.ConfigurationKey)
		if err != nil {
			timer.Pause(ctx, s.timer, resolveRetryDelay)
			continue
		}
		if stored.ChangeID == wanted.ChangeID && stored.Version > based {
			return stored, nil
		}
		if stored.Version != based {
			return stored, s.conflictError(stored, wanted, based, lost)
		}
		swapped, err := s.store.Swap(ctx, wanted, based)
		if err == nil {
			return swapped, nil
		}
		lost = lost || !errors.Is(err, eelgrassladder.ErrConflict)
	}
	return eelgrassladder.Entry{}, generated.Unknown("the store has not said whether the change took effect; read it back")
}

// conflictError returns the error for a change when the store holds another version;
// lost is true if a swap may have taken effect. The error is Unknown and not Conflict if
// that swap may have been overwritten since. It can't have been if the store holds
// version based+1, because that is the version the change would have got.
func (s *Service) conflictError(stored, wanted eelgrassladder.Entry, based uint64, lost bool) error {
	if lost && stored.Version > based+1 {
		return generated.Unknown(fmt.Sprintf(
			"version %d is in the store; whether change %s was in force before it is not known", stored.Version, wanted.ChangeID))
	}
	return generated.Conflict(fmt.Sprintf(
		"the change was based on version %d and version %d is in force", based, stored.Version))
}

// resolveRetryDelay is the pause after a failed read of the store.
const resolveRetryDelay = 200 * time.Millisecond

// Groups returns the groups, members and terms as this proxy observes them.
func (s *Service) Groups(context.Context, *generated.GroupsPayload) ([]*generated.ObservedGroup, error) {
	return s.observe(), nil
}

// Burn returns the counts of good and bad requests by class and window, from which
// the burn rate follows.
func (s *Service) Burn(context.Context, *generated.BurnPayload) ([]*generated.BurnCount, error) {
	var counts []*generated.BurnCount
	for _, c := range s.burn.Counts(s.timer.Now()) {
		counts = append(counts, &generated.BurnCount{
			Class: c.Class, DataCentre: s.dataCentre, Window: c.Window, CoveredSeconds: c.Covered.Seconds(),
			Good: c.Good, Bad: c.Bad, Share: c.Share,
		})
	}
	return counts, nil
}

// encodeConfiguration converts a configuration to the generated type.
func encodeConfiguration(c configuration.Configuration) *generated.ConfigurationVersion {
	return &generated.ConfigurationVersion{Version: c.Version, ChangeID: c.ChangeID, Text: c.Text}
}
