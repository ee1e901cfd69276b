package main

import "time"

const (
	// tokenGroups and tokenProxies are the numbers of groups and proxies.
	tokenGroups  = 6
	tokenProxies = 5
	// copyAge is how old the copy is, about, and joinTime how long before the drill a member
	// joins, which makes a proxy write a record some 1.8 s later.
	copyAge  = 7 * time.Second
	joinTime = 2200 * time.Millisecond
	// replaceGap is the time between the starts of the new members that replace primaries, and
	// drainDelay how long after that the old one drains. The gap is no multiple of the 50 ms at
	// which each proxy looks at all groups: otherwise the same proxy is always the first.
	replaceGap = 830 * time.Millisecond
	drainDelay = 400 * time.Millisecond
)

// playToken has a member join a group, and the store come back from a copy that was made before.
// Then the primaries of the other groups are replaced, one after the other. The rule is broken if
// two holders order promotions with the same fencing token, or an order has a lower token than
// one before.
func playToken(d *deployment) (bool, error) {
	e, err := newEstate(d, tokenGroups, tokenProxies)
	if err != nil {
		return false, err
	}
	d.pause(6 * time.Second)
	older := e.store.copyContents()
	d.pause(copyAge - joinTime)
	if err := e.addMember(e.group, "i-4", zoneOf(0)); err != nil {
		return false, err
	}
	e.note("i-4 joins %s", e.group.Name)
	d.pause(joinTime)
	if d.trouble {
		e.drill(older)
	}
	for i, g := range e.groups[1:] {
		old := g.Primary()
		if err := e.addMember(g, old.ID+"-new", zoneOf(i)); err != nil {
			return false, err
		}
		d.pause(drainDelay)
		old.Leave()
		e.note("%s, the primary of %s, drains", old.ID, g.Name)
		d.pause(replaceGap - drainDelay)
	}
	d.pause(drainBound)
	return e.tokensBroken(), nil
}

// tokensBroken reports whether two holders have ordered with one token, or a token was lower than
// one before.
func (e *estate) tokensBroken() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	broken := false
	for i, o := range e.orders {
		for _, earlier := range e.orders[:i] {
			if o.Token < earlier.Token || (o.Token == earlier.Token && o.Holder != earlier.Holder) {
				broken = true
				e.note("%s ordered %s with token %d after %s had ordered %s with token %d",
					o.Holder, o.Member, o.Token, earlier.Holder, earlier.Member, earlier.Token)
			}
		}
	}
	return broken
}
