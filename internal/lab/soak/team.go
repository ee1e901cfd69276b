package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// unauthorized is the error code for a key that no team holds.
	unauthorized = "UNAUTH"
	// keyPrefix begins each key of a team, and nothing else that clients send.
	keyPrefix = "secret-"
	// inspectionTeam is the team for which the soak itself looks for service. It keeps its key.
	inspectionTeam = "inspection"
	inspectionKey  = keyPrefix + inspectionTeam
	// keysOfTeam is how many keys a team has at first.
	keysOfTeam = 3
	// usualShare is the share of its rate that a team uses, and teamSession the greatest
	// number of operations in a session, which is long enough to see several versions.
	usualShare  = 0.6
	teamSession = 400
	// calmTime is how long service in calm is measured. Of the operations of a team below its
	// limit, calmShare must succeed. Some are refused while teams take connections from each
	// other: 5 of 36 in the worst case measured, with 8 teams and two connections a proxy.
	calmTime  = 3 * time.Second
	calmShare = 0.8
	// swapTime is how long clients go on after proxies must have learned that keys have changed.
	swapTime = 1500 * time.Millisecond
)

// teamRates are the limits of the teams in turn, in operations per second.
var teamRates = []float64{400, 150, 60, 20}

// teamName returns the name of the team with a number.
func teamName(number int) string { return fmt.Sprintf("team-%d", number) }

// keyOf returns a key that is given to the team with a number first.
func (r *runner) keyOf(number, index int) string {
	return fmt.Sprintf("%s%d-%d-%x", keyPrefix, number, index, rand.New(rand.NewPCG(r.plan.Seed, uint64(number))).Uint32())
}

// firstTeams returns the teams of the first version.
func (r *runner) firstTeams() []testbed.Team {
	teams := []testbed.Team{{Name: inspectionTeam, Keys: []string{inspectionKey}, Rate: 1000, Burst: 1000}}
	for i := range r.plan.Teams {
		rate := teamRates[i%len(teamRates)]
		t := testbed.Team{Name: teamName(i), Rate: rate, Burst: rate}
		for k := range keysOfTeam {
			t.Keys = append(t.Keys, r.keyOf(i, k))
		}
		teams = append(teams, t)
	}
	return teams
}

// configureTeams writes a version with other teams.
func (r *runner) configureTeams(teams []testbed.Team) {
	r.versions.begin(newVersion(teams))
	r.testbed.ConfigureTeams(teams...)
	r.versions.acknowledge()
}

// checkMessage checks that a message to a member holds no key.
func (r *runner) checkMessage(id, message string) {
	if strings.Contains(message, keyPrefix) {
		r.recordViolation("%s %s was sent a key: %.80q", time.Now().Format(logTime), id, message)
	}
}

// checkCaller checks that a member runs a statement for the team that held the client's key in
// a version that may be in force when its operation begins, and all statements of an operation
// for one team. The proxy chooses the version after the client has sent the first of them.
func (r *runner) checkCaller(run member.Run, sent sentStatement) {
	now := time.Now()
	held := func(v version) bool { return run.Caller != "" && v.holders[sent.key] == run.Caller }
	if !r.versions.anyApplies(sent.began, now, r.learnedBy(sent.proxy), held) {
		r.recordViolation("%s %s ran %s %q for %q, sent to %s with key %s at %s; versions: %s", now.Format(logTime),
			run.Member, run.ID, run.Text, run.Caller, sent.proxy, sent.key, sent.began.Format(logTime), r.describeKey(sent.key))
	}
	r.checkFloor(run, sent, held)
	if first := r.operations.note(sent.operation, run.Caller, now); first != run.Caller {
		r.recordViolation("%s %s ran %s for %q in an operation of %q", now.Format(logTime), run.Member, run.ID, run.Caller, first)
	}
}

// checkFloor checks that the version in force at a proxy has not decreased. It passes over
// statements that a former process of the proxy may have sent.
func (r *runner) checkFloor(run member.Run, sent sentStatement, held func(version) bool) {
	p := r.process(sent.proxy)
	if p == nil {
		return
	}
	starts := p.startCount()
	var possible []int
	for i, v := range r.versions.all() {
		if held(v) {
			possible = append(possible, i)
		}
	}
	if len(possible) == 0 || !p.calmSince(sent.began) {
		return
	}
	if now := time.Now(); !r.floors.note(sent.proxy, starts, sent.began, now, possible) {
		r.recordViolation("%s %s ran %s for %q, by a version before one that %s had used; versions: %s",
			now.Format(logTime), run.Member, run.ID, run.Caller, sent.proxy, r.describeKey(sent.key))
	}
}

// learnedBy returns until when a proxy may use a version.
func (r *runner) learnedBy(proxy string) learner {
	var proxies []string
	for _, p := range r.processes {
		proxies = append(proxies, p.settings.Name)
	}
	return func(acknowledged time.Time) time.Time { return r.spans.learned(proxy, proxies, acknowledged) }
}

// describeKey describes who held a key when.
func (r *runner) describeKey(key string) string {
	text, last := "", "\x00"
	for _, v := range r.versions.all() {
		holder, ok := v.holders[key]
		if current := fmt.Sprintf("%q %v", holder, ok); current != last {
			text += fmt.Sprintf("[%s from %s]", current, v.written.Format(logTime))
			last = current
		}
	}
	return text
}

// checkGreeting checks that a session begins only with a key that a team may hold, and that a
// key which a team holds for sure is not refused.
func (r *runner) checkGreeting(proxy, key string, began time.Time, err error) {
	held := func(v version) bool { return v.holders[key] != "" }
	if err == nil && !r.versions.anyApplies(began, time.Now(), r.learnedBy(proxy), held) {
		r.recordViolation("%s let in key %s; versions: %s", proxy, key, r.describeKey(key))
	}
	if err != nil && strings.Contains(err.Error(), "ERROR "+unauthorized) {
		r.checkRefusal(proxy, key, began)
	}
}

// checkRefusal checks that a key that was refused may be unknown to the proxy.
func (r *runner) checkRefusal(proxy, key string, began time.Time) {
	r.unauthorized.Add(1)
	unknown := func(v version) bool { return v.holders[key] == "" }
	if !r.versions.anyApplies(began, time.Now(), r.learnedBy(proxy), unknown) {
		r.recordViolation("%s %s refused key %s; versions: %s", began.Format(logTime), proxy, key, r.describeKey(key))
	}
}

// checkUnauthorized checks the answer to a statement that was refused for the session's key. It
// must be the first of an operation, and end the session.
func (s *session) checkUnauthorized(a testbed.Answer) {
	s.run.checkRefusal(s.proxy, s.key, s.began)
	if s.inTransaction || a.State != "I" {
		s.run.recordViolation("%s refused statement %s for its key in a transaction, state %s", s.proxy, a.ID, a.State)
	}
	if message, err := s.ReadLine(); err == nil {
		s.run.recordViolation("%s sent %q after it had refused statement %s for its key", s.proxy, message, a.ID)
	}
}

// pacing says how fast the clients of teams send.
type pacing struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// hot counts by team the faults that make it send as fast as it can.
	hot map[int]int
	// calm is true while service in calm is measured.
	calm bool
	// errors counts the error codes that each team got in calm.
	errors map[int]map[string]int
}

// noteError counts an error code that a team got, if service in calm is measured.
func (p *pacing) noteError(team int, code string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.calm {
		return
	}
	if p.errors == nil {
		p.errors = map[int]map[string]int{}
	}
	if p.errors[team] == nil {
		p.errors[team] = map[string]int{}
	}
	p.errors[team][code]++
}

// codes returns the error codes that a team got in calm, with their counts.
func (p *pacing) codes(team int) map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return maps.Clone(p.errors[team])
}

// heat adds to the count of a team.
func (p *pacing) heat(team, count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.hot == nil {
		p.hot = map[int]int{}
	}
	p.hot[team] += count
}

// isHot reports whether a team sends as fast as it can.
func (p *pacing) isHot(team int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.hot[team] > 0
}

// setCalm sets whether service in calm is measured.
func (p *pacing) setCalm(calm bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calm = calm
}

// isCalm reports whether service in calm is measured.
func (p *pacing) isCalm() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calm
}

// chooseKey returns the key for the next session: mostly one of the client's team, else one
// that any team has or had, or one that none ever had.
func (c *client) chooseKey() string {
	r := c.run
	if r.plan.Teams == 0 {
		return "tester"
	}
	draw, other, index := c.random.IntN(20), c.random.IntN(r.plan.Teams), c.random.IntN(keysOfTeam)
	keys := r.versions.newest().team(teamName(c.team)).Keys
	switch {
	case len(keys) > 0 && (draw < 16 || r.pacing.isCalm()):
		return keys[c.random.IntN(len(keys))]
	case draw < 19:
		return r.keyOf(other, index)
	default:
		return r.keyOf(other, 1<<20+index)
	}
}

// sessionLength returns the greatest number of operations in a session.
func (c *client) sessionLength() int {
	if c.run.plan.Teams > 0 {
		return teamSession
	}
	return 40
}

// pace waits between two operations, so that the clients of a team together use usualShare of
// its first rate, unless the team is hot.
func (c *client) pace(ctx context.Context) {
	r := c.run
	if r.plan.Teams == 0 || r.pacing.isHot(c.team) {
		return
	}
	colleagues := 0
	for _, other := range r.clients {
		if other.team == c.team {
			colleagues++
		}
	}
	perSecond := usualShare * teamRates[c.team%len(teamRates)] / float64(colleagues)
	pause(ctx, time.Duration(float64(time.Second)/perSecond))
}

// rest waits inside of some transactions of teams, so that versions change meanwhile, for less
// than the platform lets a transaction be idle.
func (c *client) rest() {
	if c.run.plan.Teams > 0 && !c.run.pacing.isCalm() && c.random.IntN(30) == 0 {
		time.Sleep(time.Duration(c.random.IntN(600)) * time.Millisecond)
	}
}

// checkCalm gives all teams their first keys and limits, waits until proxies know them, and
// checks that the teams below their limits are served while another one is hot. Then the teams
// lose or swap their keys while the store refuses some proxies, and no fault excuses one that
// goes on with the old keys.
func (r *runner) checkCalm(ctx context.Context) {
	r.configureTeams(r.firstTeams())
	pause(ctx, readTime)
	random := rand.New(rand.NewPCG(r.plan.Seed, 0))
	hot := random.IntN(r.plan.Teams)
	served, failed := r.countByTeam()
	r.pacing.heat(hot, 1)
	r.pacing.setCalm(true)
	var servedAfter, failedAfter map[int]int
	codes := map[int]map[string]int{}
	r.runClients(ctx, func() {
		pause(ctx, calmTime)
		r.pacing.heat(hot, -1)
		servedAfter, failedAfter = r.countByTeam()
		for team := range r.plan.Teams {
			codes[team] = r.pacing.codes(team)
		}
		refuse := r.refuseFault(random)
		refuse.begin()
		r.configureTeams(r.swappedTeams())
		pause(ctx, applyTime+swapTime)
		refuse.end()
	})
	for team := range r.plan.Teams {
		s, f := servedAfter[team]-served[team], failedAfter[team]-failed[team]
		r.printf("calm: %s hot=%v served=%d failed=%d %v\n", teamName(team), team == hot, s, f, codes[team])
		if team != hot && float64(s) < calmShare*float64(s+f) || s == 0 {
			r.recordViolation("%s was not served in calm: %d operations of %d", teamName(team), s, s+f)
		}
	}
}

// swappedTeams returns the teams of the first version with other keys: each has those of the
// next one, but for the first, which has none.
func (r *runner) swappedTeams() []testbed.Team {
	teams := r.firstTeams()
	for i := range r.plan.Teams {
		teams[1+i].Keys = nil
		for k := range keysOfTeam * min(i, 1) {
			teams[1+i].Keys = append(teams[1+i].Keys, r.keyOf((i+1)%r.plan.Teams, k))
		}
	}
	return teams
}

// countByTeam returns how many operations of each team's clients succeeded and failed.
func (r *runner) countByTeam() (served, failed map[int]int) {
	served, failed = map[int]int{}, map[int]int{}
	for _, c := range r.clients {
		served[c.team] += int(c.ledger.served.Load())
		failed[c.team] += int(c.ledger.failed.Load())
	}
	return served, failed
}

// withTeam returns the teams with one changed. The slices of the teams are not modified.
func withTeam(teams []testbed.Team, name string, change func(t testbed.Team) testbed.Team) []testbed.Team {
	changed := slices.Clone(teams)
	for i, t := range changed {
		if t.Name == name {
			t.Keys = slices.Clone(t.Keys)
			changed[i] = change(t)
		}
	}
	return changed
}
