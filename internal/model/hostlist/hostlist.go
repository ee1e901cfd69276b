// Package hostlist holds the platform's lagging list of live and leaving
// hosts.
package hostlist

import (
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// HostList is one reading of the list. It is immutable.
type HostList struct {
	// Proxies lists the proxies that the platform believes to exist.
	Proxies []membership.Proxy
	// Groups holds the database groups by name.
	Groups map[string]group.Group
}

// WithProxy returns a list with one more proxy.
func (h HostList) WithProxy(p membership.Proxy) HostList {
	h.Proxies = append(h.Proxies[:len(h.Proxies):len(h.Proxies)], p)
	return h
}

// WithEndpoint returns a list with one more member of a group.
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
