package group

import (
	"net"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	model "eelgrassladder.example/eelgrassladder/internal/model/group"
)

// Group is a running simulation of a database group.
type Group struct {
	// name is the name of the group and of its database.
	name string
	// members does not change after Start.
	members []*Member
	// hostListEntries has one entry for each member, in the same order.
	hostListEntries []model.Member
}

// Layout describes the members of a group. It is immutable.
type Layout struct {
	// Slots is how many statements a member runs at one time.
	Slots int
	// Connections is the limit of open connections of a member.
	Connections int
	// DataCentres has the data centre of each member; its length is the number of
	// members.
	DataCentres []string
	// Addresses has an IP address and port for each member; nil for free ports on
	// loopback.
	Addresses []string
	// Password is the password of all connections; empty for connections without one.
	Password string
}

// Start starts a group and runs it until the task group ends. The members have the name
// of the group with the suffixes -a, -b and so on; the first is the primary of term 1. It
// fails if a member cannot listen on its address.
func Start(g *task.Group, name string, layout Layout, c Conditions) (*Group, error) {
	started := &Group{name: name}
	for i, dataCentre := range layout.DataCentres {
		m := newMember(name+"-"+string(rune('a'+i)), layout.Slots, layout.Connections, c)
		address := "127.0.0.1:0"
		if layout.Addresses != nil {
			address = layout.Addresses[i]
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		started.members = append(started.members, m)
		started.hostListEntries = append(started.hostListEntries, model.Member{
			Name: m.name, DataCentre: dataCentre, Address: listener.Addr().String(),
			Slots: layout.Slots, Connections: layout.Connections,
		})
		s := &server{member: m, group: started, listener: listener, tasks: g, password: layout.Password}
		g.Go(m.name+" listener", s.listen)
		g.Go(m.name+" replication", m.replicate)
		g.Go(m.name+" apply", m.apply)
	}
	return started, started.bootstrap()
}

// bootstrap makes the first member the primary of term 1 and the others its replicas.
func (g *Group) bootstrap() error {
	for _, m := range g.members {
		if _, err := m.fence(1, "bootstrap"); err != nil {
			return err
		}
	}
	if _, err := g.members[0].promote(1, "bootstrap"); err != nil {
		return err
	}
	for _, m := range g.members[1:] {
		if _, err := m.follow(1, g.members[0]); err != nil {
			return err
		}
	}
	return nil
}

// Name returns the name of the group.
func (g *Group) Name() string { return g.name }

// Members returns the members in order of name. The caller must not change the slice.
func (g *Group) Members() []*Member { return g.members }

// HostListEntries returns the members' entries for the platform's host list, in order
// of name. The caller must not change the slice.
func (g *Group) HostListEntries() []model.Member { return g.hostListEntries }

// Member returns the member with the name, or nil if there is none.
func (g *Group) Member(name string) *Member {
	for _, m := range g.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// Primary returns the primary of the highest term, crashed or not; nil if no member is a
// primary.
func (g *Group) Primary() *Member {
	var primary *Member
	var highestTerm uint64
	for _, m := range g.members {
		progress := m.Progress()
		if progress.Role == model.Primary && progress.Term > highestTerm {
			primary, highestTerm = m, progress.Term
		}
	}
	return primary
}
