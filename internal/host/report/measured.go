package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// maxChangeTime is the longest time after its begin in which an entry can be a step of a
// change of primary. Its proxy gives it up earlier.
const maxChangeTime = 10 * time.Second

// measuredChange is a change of primary with the entries that show what its choice was
// measured against. It is immutable.
type measuredChange struct {
	// begun is the entry that says that it has begun.
	begun entry
	// steps are the later entries of the same proxy with the same token, in order.
	steps []entry
	// chosen is the last choice among the steps. It names the members that were asked.
	chosen entry
	// group holds all entries about the group, in order.
	group []entry
	// until is when the chosen endpoint was first seen to lead, or else the last step.
	until time.Time
}

// measuredChanges returns the changes of primary of a group that began between two times
// and chose an endpoint. It leaves out those of earlier builds, whose entries do not name
// the members that were asked.
func (l *MergedLog) measuredChanges(group string, from, to time.Time) []measuredChange {
	var entries []entry
	for _, e := range l.entries {
		if l.group(e) == group {
			entries = append(entries, e)
		}
	}
	slices.SortStableFunc(entries, entry.compare)
	var changes []measuredChange
	for i, e := range entries {
		if e.message != messageBegun || !e.within(from, to) {
			continue
		}
		c := measuredChange{begun: e, group: entries, until: e.at}
		for _, step := range entries[i+1:] {
			if step.source == e.source && step.number("Token") == e.number("Token") && step.at.Sub(e.at) < maxChangeTime {
				c = c.with(step)
			}
		}
		if c.chosen.fields["Asked"] != nil {
			changes = append(changes, c)
		}
	}
	return changes
}

// with returns the change with a further step.
func (c measuredChange) with(step entry) measuredChange {
	c.steps = append(slices.Clip(c.steps), step)
	if !c.leads() {
		c.until = step.at
	}
	if step.message == messageChosen {
		c.chosen = step
	}
	return c
}

// leads reports whether one of the steps but the last says that the endpoint leads.
func (c measuredChange) leads() bool {
	return slices.ContainsFunc(c.steps[:len(c.steps)-1], func(e entry) bool { return e.message == messageLeads })
}

// chosenEnd returns the end of the chosen endpoint's log.
func (c measuredChange) chosenEnd() position.Position { return c.chosen.position("Received") }

// writeMeasured writes, for each change of primary of a group that began between two
// times, what its choice was measured against, and what speaks for a commit that it may
// have lost. It writes nothing if there was none. Times are printed relative to start.
func (l *MergedLog) writeMeasured(w io.Writer, group string, from, to, start time.Time) error {
	var text strings.Builder
	for _, c := range l.measuredChanges(group, from, to) {
		c.write(&text, start)
	}
	if text.Len() == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\nWhat the changes of primary were measured against:\n%s", text.String())
	return errors.WithStack(err)
}

// write writes the change.
func (c measuredChange) write(w *strings.Builder, start time.Time) {
	b, e := c.begun, c.chosen
	fmt.Fprintf(w, "%+.3f s %s replaces %s of term %d (%s, token %d)\n", b.at.Sub(start).Seconds(), b.source,
		b.text("Primary"), b.number("Term"), b.text("Reason"), b.number("Token"))
	stopped := "was not stopped"
	if e.fields["OldStopped"] == true {
		stopped = "was stopped"
	}
	fmt.Fprintf(w, "    chosen %+.3f s: %s, whose log ends at %s; it had to hold %s (from %s, %d ms old), the newest known position was %s\n",
		e.at.Sub(start).Seconds(), e.text("Endpoint"), e.text("Received"), e.text("Kept"), e.text("KeptFrom"), e.number("KeptAgeMs"), e.text("Told"))
	fmt.Fprintf(w, "    the old primary %s; the list of members was %d ms old, the record had been closed for %d ms\n",
		stopped, e.number("ListAgeMs"), e.number("RecordAgeMs"))
	for _, m := range askedIn(e) {
		fmt.Fprintf(w, "    asked: %s\n", m.describe(e.at))
	}
	for _, text := range c.orders() {
		fmt.Fprintf(w, "    %s\n", text)
	}
	findings := c.findings(start)
	for _, text := range findings {
		fmt.Fprintf(w, "  ! %s\n", text)
	}
	if len(findings) == 0 {
		fmt.Fprintln(w, "    no entry shows a late commit, a second choice, a joined or restarted member, a resumed replica or an older record")
	}
}

// orders says for each order of the promotion how it was answered and when the endpoint
// was seen to lead.
func (c measuredChange) orders() []string {
	var texts []string
	for i, e := range c.steps {
		if e.message != messageOrdered {
			continue
		}
		answer, leads := "its answer is not in the log", "the endpoint was not seen to lead"
		for _, step := range c.steps[i+1:] {
			if step.message == messageOrdered {
				break
			}
			switch step.message {
			case messageAnswered:
				answer = fmt.Sprintf("answered after %d ms", step.number("TookMs"))
			case messageNotAnswered:
				answer = fmt.Sprintf("not answered for %d ms", step.number("TookMs"))
			case messageLeads:
				leads = fmt.Sprintf("the endpoint was seen to lead term %d after %d ms", step.number("Term"), step.number("AfterOrderMs"))
			}
		}
		texts = append(texts, fmt.Sprintf("promotion of %s ordered: %s, %s", e.text("Endpoint"), answer, leads))
	}
	return texts
}
