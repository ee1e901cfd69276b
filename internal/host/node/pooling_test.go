package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/clock"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
)

// TestPoolersFollowTheProxiesAndTheRoutes guards against operations that are sent to proxies that
// pooled the connections before a proxy joined or a limit changed.
func TestPoolersFollowTheProxiesAndTheRoutes(t *testing.T) {
	n := newTestNode(clock.Host{})
	n.settings = settings.Node{Name: "proxy-0", DataCentre: "east"}
	p := &pools{clusterState: n.state, fleet: n.fleet}
	register := func(count int) {
		addresses, dataCentres := map[string]string{}, map[string]string{}
		for i := 1; i < count; i++ {
			name := fmt.Sprintf("proxy-%d", i)
			addresses[name], dataCentres[name] = fmt.Sprintf("10.0.0.%d:1", i), []string{"east", "west"}[i%2]
		}
		n.state.setDataCentres(dataCentres)
		n.state.setProxies(addresses)
	}
	limit := func(version uint64, connections int) {
		routes := route.NewTable(version).WithRoutes(route.Route{Database: "d", Group: testGroup}).
			WithGroups(route.Group{Name: testGroup, Connections: connections})
		n.state.routes.Store(&routes)
	}
	limit(1, 16)
	register(8)
	assert.Equal(t, len(p.Poolers(testGroup).All()), 0)
	register(9)
	assert.Equal(t, len(p.Poolers(testGroup).All()), 2)
	limit(2, 18)
	assert.Equal(t, len(p.Poolers(testGroup).All()), 0)
	register(200)
	assert.Equal(t, len(p.Poolers(testGroup).All()), 2)
	limit(3, 64)
	assert.Equal(t, len(p.Poolers(testGroup).All()), 8)
	assert.Equal(t, len(p.Poolers("another").All()), 0)
}

// TestAFleetThatShrinksForAShortTimeKeepsItsPoolers guards against all proxies that open
// connections of their own when some are away, and close them when these are back.
func TestAFleetThatShrinksForAShortTimeKeepsItsPoolers(t *testing.T) {
	c := &movedClock{now: time.Hour}
	n := newTestNode(c)
	n.settings = settings.Node{Name: "proxy-0", DataCentre: "east"}
	p := &pools{clusterState: n.state, fleet: n.fleet}
	routes := route.NewTable(1).WithRoutes(route.Route{Database: "d", Group: testGroup}).
		WithGroups(route.Group{Name: testGroup, Connections: 18})
	n.state.routes.Store(&routes)
	all, few := map[string]string{}, map[string]string{}
	dataCentres := map[string]string{}
	for i := 1; i < 12; i++ {
		name := fmt.Sprintf("proxy-%d", i)
		all[name], dataCentres[name] = fmt.Sprintf("10.0.0.%d:1", i), "east"
		if i < 6 {
			few[name] = all[name]
		}
	}
	n.state.setDataCentres(dataCentres)
	pooled := func(want bool, text string) {
		t.Helper()
		assert.Equal(t, len(p.Poolers(testGroup).All()) > 0, want, text)
	}
	n.state.setProxies(all)
	pooled(true, "12 proxies, 18 connections")
	n.state.setProxies(few)
	pooled(true, "six proxies have just left")
	c.now += lenderRetention - 1
	n.state.forgetDeparted()
	pooled(true, "six proxies may still come back")
	c.now++
	n.state.forgetDeparted()
	pooled(false, "six proxies, 18 connections")
	n.state.setProxies(all)
	pooled(true, "twelve proxies again")
}
