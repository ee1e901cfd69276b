package report

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// contextWindow is how long before and after a request's own entries other
	// entries about its group and endpoints are included.
	contextWindow = 3 * time.Second
	// maxLineBytes is the maximum length of a log line. Read fails at a longer
	// one.
	maxLineBytes = 1 << 20
)

// MergedLog holds the entries of the structured logs of several processes.
type MergedLog struct {
	entries []entry
	// groups maps the ID of an endpoint to the name of its group, learned from
	// entries that name both.
	groups map[string]string
}

// Read adds the entries of a log that was read from source. It skips lines
// without a JSON object that has a Time. If text precedes the object in a line,
// the last word of that text replaces source for the entry.
func (l *MergedLog) Read(source string, r io.Reader) error {
	if l.groups == nil {
		l.groups = map[string]string{}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		objectStart := strings.IndexByte(text, '{')
		if objectStart < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(text[objectStart:]), &fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["Time"]))
		if err != nil {
			continue
		}
		e := entry{at: at, message: fmt.Sprint(fields["Message"]), source: source, fields: fields}
		if prefix := strings.Fields(text[:objectStart]); len(prefix) > 0 {
			e.source = prefix[len(prefix)-1]
		}
		for _, name := range []string{"Time", "Message", "Level"} {
			delete(fields, name)
		}
		if id, group := e.text("Endpoint"), e.text("Group"); id != "" && group != "" {
			l.groups[id] = group
		}
		l.entries = append(l.entries, e)
	}
	return errors.WithStack(scanner.Err())
}

// Explain writes the history of a request. First come the changes of primary
// of its group around that time. Then come, in order of time, the request's own
// entries, which are marked, and those about its group, its endpoints and whole
// processes within contextWindow of them. Repeated entries are merged.
func (l *MergedLog) Explain(w io.Writer, request string) error {
	var requestEntries []entry
	// related holds the groups and endpoints that the request's entries name.
	related := map[string]bool{}
	for _, e := range l.entries {
		if e.fields["Request"] != request {
			continue
		}
		requestEntries = append(requestEntries, e)
		for _, name := range []string{"Group", "Endpoint"} {
			if v := e.text(name); v != "" {
				related[v] = true
			}
		}
		if group := l.group(e); group != "" {
			related[group] = true
		}
	}
	if len(requestEntries) == 0 {
		return errors.Errorf("no log entry mentions request %s; the log's rate limit may have dropped it", request)
	}
	slices.SortFunc(requestEntries, entry.compare)
	start := requestEntries[0].at
	from, to := start.Add(-contextWindow), requestEntries[len(requestEntries)-1].at.Add(contextWindow)
	for _, group := range slices.Sorted(maps.Keys(l.groupNames(related))) {
		if err := l.writeChanges(w, group, from, to, start); err != nil {
			return err
		}
	}
	selected := requestEntries
	for _, e := range l.entries {
		if e.isRequest() || !e.within(from, to) {
			continue
		}
		if e.mentions(related) || related[l.group(e)] || e.isProcessWide() {
			selected = append(selected, e)
		}
	}
	return writeEntries(w, mergeRepeats(selected, entry.isRequest), start, entry.isRequest)
}

// ExplainGroup writes the entries about a group's primary and members between
// two times, in order of time. If a time is zero, there is no such bound.
// Repeated entries are merged, and steps of a change of primary are marked. Then it
// writes what the choice of each change of primary was measured against.
func (l *MergedLog) ExplainGroup(w io.Writer, group string, from, to time.Time) error {
	var selected []entry
	mentioned := false
	for _, e := range l.entries {
		mentioned = mentioned || l.group(e) == group
		if e.within(from, to) && l.concernsGroup(e, group) {
			selected = append(selected, e)
		}
	}
	if !mentioned {
		return errors.Errorf("no log entry mentions group %s", group)
	}
	if len(selected) == 0 {
		return errors.Errorf("no log entry concerns the primary or members of group %s in the given time", group)
	}
	merged := mergeRepeats(selected, matchNone)
	start := merged[0].at
	if _, err := fmt.Fprintf(w, "Group %s, from %s (+0.000 s)\n", group, start.Format(time.RFC3339Nano)); err != nil {
		return errors.WithStack(err)
	}
	if err := writeEntries(w, merged, start, entry.isChangeStep); err != nil {
		return err
	}
	return l.writeMeasured(w, group, from, to, start)
}

// concernsGroup reports whether the entry belongs to a group's history: it is
// about the group or its endpoints, about one of its requests with an unknown
// outcome, or about the proxies, the store or a reload. An entry with Gone=false
// does not belong to it: it only says that a proxy was registered.
func (l *MergedLog) concernsGroup(e entry, group string) bool {
	if e.isRequest() {
		return e.text("Group") == group && e.outcomeUnknown()
	}
	if l.group(e) == group {
		return true
	}
	return e.isProcessWide() && !strings.HasPrefix(e.message, "Routes ") && e.fields["Gone"] != false
}

// writeChanges writes the changes of primary of a group that were in progress
// between two times, each from its begin on. It writes nothing if there were
// none. Times are printed relative to start.
func (l *MergedLog) writeChanges(w io.Writer, group string, from, to, start time.Time) error {
	var steps []entry
	for _, e := range l.entries {
		if e.text("Group") == group && (e.isChangeStep() || e.opensPrimary()) && !e.at.After(to) {
			steps = append(steps, e)
		}
	}
	slices.SortFunc(steps, entry.compare)
	// first is the step that began a change which was not done before from, or
	// else the first step from then on.
	first := len(steps)
	for i, e := range steps {
		if e.at.Before(from) && e.message == messageBegun {
			first = i
		}
		if e.at.Before(from) && e.message == messageDone {
			first = len(steps)
		}
		if !e.at.Before(from) {
			first = min(first, i)
			break
		}
	}
	steps = steps[first:]
	if !slices.ContainsFunc(steps, entry.isChangeStep) {
		return nil
	}
	if _, err := fmt.Fprintf(w, "Changes of primary of %s (+0.000 s is %s):\n", group, start.Format(time.RFC3339Nano)); err != nil {
		return errors.WithStack(err)
	}
	if err := writeEntries(w, mergeRepeats(steps, matchNone), start, matchNone); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return errors.WithStack(err)
}

// group returns the group that an entry is about, or an empty string.
func (l *MergedLog) group(e entry) string {
	if group := e.text("Group"); group != "" {
		return group
	}
	return l.groups[e.text("Endpoint")]
}

// groupNames returns those of the names that entries give as a group.
func (l *MergedLog) groupNames(names map[string]bool) map[string]bool {
	groups := map[string]bool{}
	for _, e := range l.entries {
		if group := e.text("Group"); names[group] {
			groups[group] = true
		}
	}
	return groups
}
