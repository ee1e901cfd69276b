package report

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

// findings says what in the log speaks for commits that the change may have lost. Times
// are printed relative to start.
func (c measuredChange) findings(start time.Time) []string {
	texts := c.lateCommits()
	for _, e := range c.group {
		at := fmt.Sprintf("%+.3f s", e.at.Sub(start).Seconds())
		switch during := e.within(c.begun.at, c.until); {
		case e.message == messageChosen && e.number("Term") == c.begun.number("Term") && e.text("Endpoint") != c.chosen.text("Endpoint"):
			texts = append(texts, fmt.Sprintf("second choice: %s chose %s for the same term, %s", e.source, e.text("Endpoint"), at))
		case e.message == messageListed && during && !c.asked(e.text("Endpoint")):
			texts = append(texts, fmt.Sprintf("joined member: %s listed during the change and not asked, %s at %s", e.text("Endpoint"), at, e.source))
		case e.message == messageResumed && during && e.number("Token") != c.begun.number("Token"):
			texts = append(texts, fmt.Sprintf("resumed replica: %s resumed %s, which was suspended for term %d, %s", e.source, e.text("Endpoint"), e.number("Suspended"), at))
		case e.message == messageOlderRecord && !e.at.Before(c.begun.at) && e.at.Sub(c.begun.at) < maxChangeTime:
			texts = append(texts, fmt.Sprintf("older record: %s went back to revision %d after %d, %s", e.source, e.number("Revision"), e.number("RevisionBefore"), at))
		}
	}
	return append(texts, c.restarted(start)...)
}

// lateCommits says for each proxy which commit the old primary acknowledged to it last,
// if that was after the change had begun.
func (c measuredChange) lateCommits() []string {
	type commit struct {
		at       time.Time
		position position.Position
	}
	last := map[string]commit{}
	for _, e := range c.group {
		at, p, ok := e.acknowledgedCommit()
		if ok && e.text("Endpoint") == c.begun.text("Primary") && p.Term == uint64(c.begun.number("Term")) &&
			at.After(c.begun.at) && at.After(last[e.source].at) {
			last[e.source] = commit{at: at, position: p}
		}
	}
	var texts []string
	for source, known := range last {
		verdict := "and holds it"
		if !c.chosenEnd().UpToDateWith(known.position) {
			verdict = "and may lack it"
		}
		texts = append(texts, fmt.Sprintf("late commit: %s acknowledged %v to %s %.3f s after the change had begun; the chosen log ends at %v %s",
			c.begun.text("Primary"), known.position, source, known.at.Sub(c.begun.at).Seconds(), c.chosenEnd(), verdict))
	}
	slices.Sort(texts)
	return texts
}

// asked reports whether the chosen endpoint was compared with the given one.
func (c measuredChange) asked(id string) bool {
	return slices.ContainsFunc(askedIn(c.chosen), func(m askedMember) bool { return m.id == id })
}

// restarted says which of the asked members had another start of their process in an
// earlier entry.
func (c measuredChange) restarted(start time.Time) []string {
	type sighting struct {
		started int64
		at      time.Time
	}
	before := map[string]sighting{}
	for _, e := range c.group {
		if !e.at.Before(c.chosen.at) {
			break
		}
		if started := e.number("Started"); e.message == messageListed && started > 0 {
			before[e.text("Endpoint")] = sighting{started: int64(started), at: e.at}
		}
		for _, m := range askedIn(e) {
			if m.started > 0 {
				before[m.id] = sighting{started: m.started, at: e.at}
			}
		}
	}
	var texts []string
	for _, m := range askedIn(c.chosen) {
		if known, ok := before[m.id]; ok && m.started > 0 && m.started != known.started {
			texts = append(texts, fmt.Sprintf("restarted member: %s has started again since %+.3f s, %.3f s later than its process of then", m.id,
				known.at.Sub(start).Seconds(), float64(m.started-known.started)/1000))
		}
	}
	return texts
}

// acknowledgedCommit returns when the endpoint of the entry acknowledged a commit to the
// entry's proxy, and the position that the answer reported. It returns false if the entry
// is not about an acknowledged commit.
func (e entry) acknowledgedCommit() (time.Time, position.Position, bool) {
	p := e.position("Position")
	kind := e.text("Kind")
	switch {
	case p.IsZero():
		return time.Time{}, p, false
	case e.message == messageCommitsSinceOpen:
		return e.at.Add(-time.Duration(e.number("CommitAgeMs")) * time.Millisecond), p, true
	case e.message == messageCommitDoubted:
		return e.at, p, true
	default:
		committed := kind == statement.Write.String() || kind == statement.Commit.String()
		return e.at, p, e.message == messageServed && committed
	}
}

// position returns a field that holds a position, or zero.
func (e entry) position(name string) position.Position {
	p, err := position.Parse(e.text(name))
	if err != nil {
		return position.Position{}
	}
	return p
}

// askedMember is a member that a change of primary asked before its choice, as the entry
// of the choice names it. It is immutable.
type askedMember struct {
	id string
	// end is the end of its log; "?" if it did not answer.
	end string
	// started is when its process started, in milliseconds of its own clock; zero if
	// unknown.
	started int64
	// fields are the fields of the text, such as AgeMs.
	fields map[string]string
}

// askedIn returns the members that an entry names in its field Asked.
func askedIn(e entry) []askedMember {
	listed, _ := e.fields["Asked"].([]any)
	var members []askedMember
	for _, text := range listed {
		m := askedMember{fields: map[string]string{}}
		answer, err, _ := strings.Cut(fmt.Sprint(text), ",Error=")
		m.fields["Error"] = err
		for i, field := range strings.Split(answer, ",") {
			name, value, _ := strings.Cut(field, "=")
			if i == 0 {
				m.id, m.end = name, value
			}
			m.fields[name] = value
		}
		m.started, _ = strconv.ParseInt(m.fields["Started"], 10, 64)
		members = append(members, m)
	}
	return members
}

// describe describes the member's answer. A choice was made at the given time.
func (m askedMember) describe(chosenAt time.Time) string {
	started := "unknown start"
	if m.started > 0 {
		started = fmt.Sprintf("started %.3f s before", chosenAt.Sub(time.UnixMilli(m.started)).Seconds())
	}
	if m.fields["Error"] != "" {
		return fmt.Sprintf("%s: %s; %s", m.id, m.fields["Error"], started)
	}
	return fmt.Sprintf("%s: log %s, term %s, suspended for term %s, answered %s ms before; %s", m.id, m.end, m.fields["Term"],
		m.fields["Suspended"], m.fields["AgeMs"], started)
}
