package pooling_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/policy/pooling"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

// fleet returns the fleet of n proxies in data centres, as the proxy with an index knows it.
func fleet(self, n, dataCentres int) sharing.Fleet {
	names, byName := make([]string, n), map[string]string{}
	for i := range names {
		names[i] = fmt.Sprintf("proxy-%d", i)
		byName[names[i]] = fmt.Sprintf("zone-%d", i%dataCentres)
	}
	return sharing.NewFleet(names[self], names...).WithDataCentres(byName)
}

// TestTheMeasuredDeploymentHasPoolers guards against a change of the numbers by which the
// deployment was measured that made pooling necessary.
func TestTheMeasuredDeploymentHasPoolers(t *testing.T) {
	f := fleet(0, 82, 3)
	p := pooling.Choose(f, "group-0", 46)
	assert.Equal(t, len(p.All()), 6)
	for i := range 82 {
		self := fleet(i, 82, 3)
		a := pooling.Choose(self, "group-0", 46).Allot(self, "endpoint", 46)
		if slices.Contains(p.All(), self.Self()) {
			assert.Equal(t, a, sharing.Allotment{Max: 6, Keeps: true})
		} else {
			assert.Equal(t, a, sharing.Allotment{Max: 1})
		}
	}
}

// TestOnlyDeploymentsWithTooFewConnectionsHavePoolers guards against a change of deployments
// that work without poolers, and against proxies that have to take connections from each other.
func TestOnlyDeploymentsWithTooFewConnectionsHavePoolers(t *testing.T) {
	for _, c := range []struct{ limit, proxies int }{{16, 5}, {39, 5}, {68, 34}, {60, 30}, {220, 29}, {236, 118}, {2, 1}} {
		f := fleet(0, c.proxies, 1)
		p := pooling.Choose(f, "group-0", c.limit)
		assert.Assert(t, !p.Delegates(), "%+v", c)
		assert.Equal(t, p.Allot(f, "endpoint", c.limit), f.Allot("endpoint", c.limit), "%+v", c)
	}
	for _, c := range []struct{ limit, proxies int }{{32, 34}, {34, 34}, {43, 30}, {46, 42}, {108, 118}, {108, 102}, {108, 100}, {108, 58}, {3, 4}} {
		assert.Assert(t, len(pooling.Choose(fleet(0, c.proxies, 1), "group-0", c.limit).All()) > 0, "%+v", c)
	}
	unknown := sharing.NewFleet("a", "b", "c", "d", "e")
	assert.Assert(t, !pooling.Choose(unknown, "group-0", 1).Delegates(), "proxies of earlier versions, without data centres, run nothing for others")
}

// TestPoolersLeaveRoom guards against poolers that fill an endpoint, against a data centre
// without poolers, and against proxies that disagree.
func TestPoolersLeaveRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 200).Draw(t, "proxies")
		dataCentres := rapid.IntRange(1, min(proxies, 5)).Draw(t, "data centres")
		limit := rapid.IntRange(1, 200).Draw(t, "limit")
		group := rapid.StringN(1, 8, 20).Draw(t, "group")
		chosen := pooling.Choose(fleet(0, proxies, dataCentres), group, limit).All()
		if limit >= 2*proxies {
			if len(chosen) > 0 {
				t.Fatalf("%d poolers", len(chosen))
			}
			return
		}
		held := 0
		for i := range proxies {
			self := fleet(i, proxies, dataCentres)
			p := pooling.Choose(self, group, limit)
			all := p.All()
			slices.Sort(all)
			expected := slices.Sorted(slices.Values(chosen))
			if !slices.Equal(all, expected) {
				t.Fatalf("%s knows the poolers %v, not %v", self.Self(), all, expected)
			}
			if a := p.Allot(self, "endpoint", limit); a.Keeps {
				held += a.Max
			}
		}
		if len(chosen) < dataCentres || len(chosen) > dataCentres*max(1, limit) {
			t.Fatalf("%d poolers in %d data centres", len(chosen), dataCentres)
		}
		if bound := max(limit*85/100, len(chosen)); held > bound {
			t.Fatalf("%d poolers may hold %d of %d connections", len(chosen), held, limit)
		}
	})
}

// TestAProxyAsksTheLeastUsedPoolerNearby guards against poolers that get more than their part,
// and against statements that leave their data centre without need.
func TestAProxyAsksTheLeastUsedPoolerNearby(t *testing.T) {
	const self = 1
	var p pooling.Poolers
	for i := self; !p.Delegates(); i++ {
		p = pooling.Choose(fleet(i, 82, 2), "group-0", 46)
	}
	all := p.All()
	assert.Equal(t, len(all), 6)
	for i, name := range all[:3] {
		got, ok := p.Ask("", func(pooler string) (int, bool) {
			if pooler == name {
				return 1, true
			}
			return 2 * slices.Index(all, pooler) * i, pooler != "" && i > 0 && pooler != all[0]
		})
		if i == 0 {
			assert.Assert(t, ok && got == name, "%s was asked, not %s, which alone may be asked", got, name)
			continue
		}
		assert.Assert(t, ok && got == name, "%s was asked, not %s", got, name)
	}
	got, ok := p.Ask("", func(pooler string) (int, bool) { return 100, slices.Index(all, pooler) >= 2 })
	assert.Assert(t, ok && got == all[2], "%s was asked although %s is in the same data centre", got, all[2])
	got, ok = p.Ask("", func(pooler string) (int, bool) { return 0, pooler == all[4] })
	assert.Assert(t, ok && got == all[4])
	_, ok = p.Ask("", func(string) (int, bool) { return 0, false })
	assert.Assert(t, !ok)
}

// TestProxiesSpreadOverPoolers guards against proxies that all ask the same pooler first.
func TestProxiesSpreadOverPoolers(t *testing.T) {
	asked := map[string]int{}
	for i := range 82 {
		p := pooling.Choose(fleet(i, 82, 2), "group-0", 46)
		if name, ok := p.Ask("", func(string) (int, bool) { return 0, true }); ok && p.Delegates() {
			asked[name]++
		}
	}
	assert.Equal(t, len(asked), 6)
	for name, n := range asked {
		assert.Assert(t, n >= 5 && n <= 25, "%s is asked by %d of 76", name, n)
	}
}

// TestTheOperationsOfATeamUseTheSamePooler replays proxies with two connections each and more teams
// than connections. It guards against connections that are opened for most operations, because
// the pooler has one of another team.
func TestTheOperationsOfATeamUseTheSamePooler(t *testing.T) {
	const proxies, limit = 35, 70
	assert.Assert(t, len(pooling.Choose(fleet(0, proxies, 3), "group-0", limit).All()) == 0)
	used := map[string]int{}
	for team := range 86 {
		asked := map[string]bool{}
		for i := range proxies {
			f := fleet(i, proxies, 3).WithTeams()
			p := pooling.Choose(f, "group-0", limit)
			if !p.Delegates() {
				continue
			}
			busy := 0
			name, ok := p.Ask(fmt.Sprint("team-", team), func(string) (int, bool) { busy++; return busy, true })
			assert.Assert(t, ok)
			asked[name] = true
			used[name]++
		}
		assert.Assert(t, len(asked) <= 3, "a team uses %d poolers, in 3 data centres", len(asked))
	}
	assert.Equal(t, len(used), 9, "a pooler is not used: %v", used)
}
