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
	// storyContext is how long before and after a request's lines other lines
	// about its group and endpoints belong to its story.
	storyContext = 3 * time.Second
	// maxLine is the longest log line in bytes.
	maxLine = 1 << 20
)

// Log holds lines of the structured logs of several processes.
type Log struct {
	lines []line
	// groups holds the group of each endpoint that a line names together with
	// its group.
	groups map[string]string
}

// Read adds the lines of a log. Lines that are no JSON objects, such as the
// output of another program, are passed over; a prefix before the object is
// allowed.
func (l *Log) Read(source string, r io.Reader) error {
	if l.groups == nil {
		l.groups = map[string]string{}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(text[i:]), &fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["Time"]))
		if err != nil {
			continue
		}
		one := line{at: at, message: fmt.Sprint(fields["Message"]), source: source, fields: fields}
		if prefix := strings.Fields(text[:i]); len(prefix) > 0 {
			one.source = prefix[len(prefix)-1]
		}
		for _, name := range []string{"Time", "Message", "Level"} {
			delete(fields, name)
		}
		if id, group := one.text("Endpoint"), one.text("Group"); id != "" && group != "" {
			l.groups[id] = group
		}
		l.lines = append(l.lines, one)
	}
	return errors.WithStack(scanner.Err())
}

// Explain writes the story of a request: first the changes of primary of its
// group around it, then its own lines and what was decided about its group and
// its endpoints, in order of time. Lines that say the same are one.
func (l *Log) Explain(w io.Writer, request string) error {
	var own []line
	about := map[string]bool{}
	for _, one := range l.lines {
		if one.fields["Request"] != request {
			continue
		}
		own = append(own, one)
		for _, name := range []string{"Group", "Endpoint"} {
			if v := one.text(name); v != "" {
				about[v] = true
			}
		}
		if group := l.group(one); group != "" {
			about[group] = true
		}
	}
	if len(own) == 0 {
		return errors.Errorf("no line tells of request %s; it may have been left out as a sample", request)
	}
	slices.SortFunc(own, line.compare)
	start := own[0].at
	from, to := start.Add(-storyContext), own[len(own)-1].at.Add(storyContext)
	for _, group := range slices.Sorted(maps.Keys(l.named(about))) {
		if err := l.writeChain(w, group, from, to, start); err != nil {
			return err
		}
	}
	story := own
	for _, one := range l.lines {
		if one.ofRequest() || !one.within(from, to) {
			continue
		}
		if one.tells(about) || about[l.group(one)] || one.concernsAll() {
			story = append(story, one)
		}
	}
	return writeAll(w, fold(story, line.ofRequest), start, line.ofRequest)
}

// ExplainGroup writes what was decided about the primary of a group from one
// time to another, in order of time; a zero time is no bound. Lines that say
// the same are one. Changes of primary are marked.
func (l *Log) ExplainGroup(w io.Writer, group string, from, to time.Time) error {
	var story []line
	known := false
	for _, one := range l.lines {
		known = known || l.group(one) == group
		if one.within(from, to) && l.decides(one, group) {
			story = append(story, one)
		}
	}
	if !known {
		return errors.Errorf("no line tells of group %s", group)
	}
	if len(story) == 0 {
		return errors.Errorf("no line tells what was decided about group %s in this time", group)
	}
	all := fold(story, never)
	start := all[0].at
	if _, err := fmt.Fprintf(w, "Group %s, from %s (+0.000 s)\n", group, start.Format(time.RFC3339Nano)); err != nil {
		return errors.WithStack(err)
	}
	return writeAll(w, all, start, line.steps)
}

// decides reports whether the line tells what became of a group's primary and
// members, of a commit whose outcome nobody knows, or of the proxies and the
// store.
func (l *Log) decides(one line, group string) bool {
	if one.ofRequest() {
		return one.text("Group") == group && one.inDoubt()
	}
	if l.group(one) == group {
		return true
	}
	return one.concernsAll() && !strings.HasPrefix(one.message, "Routes ") && one.fields["Gone"] != false
}

// writeChain writes the changes of primary of a group that were under way in a
// time, and nothing if there were none.
func (l *Log) writeChain(w io.Writer, group string, from, to, start time.Time) error {
	var steps []line
	for _, one := range l.lines {
		if one.text("Group") == group && (one.steps() || one.opens()) && !one.at.After(to) {
			steps = append(steps, one)
		}
	}
	slices.SortFunc(steps, line.compare)
	first := len(steps)
	for i, one := range steps {
		if one.at.Before(from) && one.message == begun {
			first = i
		}
		if one.at.Before(from) && one.message == done {
			first = len(steps)
		}
		if !one.at.Before(from) {
			first = min(first, i)
			break
		}
	}
	steps = steps[first:]
	if !slices.ContainsFunc(steps, line.steps) {
		return nil
	}
	if _, err := fmt.Fprintf(w, "Changes of primary of %s (+0.000 s is %s):\n", group, start.Format(time.RFC3339Nano)); err != nil {
		return errors.WithStack(err)
	}
	if err := writeAll(w, fold(steps, never), start, never); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return errors.WithStack(err)
}

// group returns the group that a line is about; empty for none.
func (l *Log) group(one line) string {
	if group := one.text("Group"); group != "" {
		return group
	}
	return l.groups[one.text("Endpoint")]
}

// named returns those names that are names of groups.
func (l *Log) named(names map[string]bool) map[string]bool {
	groups := map[string]bool{}
	for _, one := range l.lines {
		if group := one.text("Group"); names[group] {
			groups[group] = true
		}
	}
	return groups
}
