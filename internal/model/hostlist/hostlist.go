// Package hostlist holds the platform's list of live and leaving hosts, which lags
// behind the real state.
package hostlist

import (
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// HostList is the list at one time. It is immutable.
type HostList struct {
	Proxies []membership.Proxy
	// Groups holds the database groups by name.
	Groups map[string]group.Group
}

// WithProxy returns the list with a proxy added.
func (h HostList) WithProxy(p membership.Proxy) HostList {
	h.Proxies = append(h.Proxies[:len(h.Proxies):len(h.Proxies)], p)
	return h
}

// WithEndpoint returns the list with a member of a group added or replaced.
func (h HostList) WithEndpoint(name string, m group.Member) HostList {
	groups := make(map[string]group.Group, len(h.Groups)+1)
	for k, g := range h.Groups {
		groups[k] = g
	}
	g, ok := groups[name]
	if !ok {
		g = group.Group{Name: name}
	}
	groups[name] = g.WithMember(m)
	h.Groups = groups
	return h
}
