package report

import (
	"bufio"
	"cmp"
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

// line is one line of a structured log.
type line struct {
	// at is when it was written, and message what it says.
	at      time.Time
	message string
	// source is the file that it stands in.
	source string
	// fields holds the rest.
	fields map[string]any
}

// Log holds lines of the structured logs of several processes.
type Log struct {
	lines []line
}

// Read adds the lines of a log. Lines that are no JSON objects, such as the
// output of another program, are passed over; a prefix before the object is
// allowed.
func (l *Log) Read(source string, r io.Reader) error {
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
		l.lines = append(l.lines, one)
	}
	return errors.WithStack(scanner.Err())
}

// Explain writes the story of a request: its own lines, and what was decided
// about its group and its endpoints around them, in order of time.
func (l *Log) Explain(w io.Writer, request string) error {
	var own []line
	about := map[string]bool{}
	for _, one := range l.lines {
		if one.fields["Request"] != request {
			continue
		}
		own = append(own, one)
		for _, name := range []string{"Group", "Endpoint"} {
			if v, ok := one.fields[name].(string); ok && v != "" {
				about[v] = true
			}
		}
	}
	if len(own) == 0 {
		return errors.Errorf("no line tells of request %s; it may have been left out as a sample", request)
	}
	slices.SortFunc(own, func(a, b line) int { return a.at.Compare(b.at) })
	from, to := own[0].at.Add(-storyContext), own[len(own)-1].at.Add(storyContext)
	story := own
	for _, one := range l.lines {
		if one.fields["Request"] == nil && !one.at.Before(from) && !one.at.After(to) && one.tells(about) {
			story = append(story, one)
		}
	}
	slices.SortStableFunc(story, func(a, b line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.source, b.source))
	})
	for _, one := range story {
		if err := one.write(w, own[0].at); err != nil {
			return err
		}
	}
	return nil
}

// tells reports whether the line is about one of the names, or about what
// concerns all requests of its process.
func (l line) tells(about map[string]bool) bool {
	for _, name := range []string{"Group", "Endpoint", "Primary", "Before"} {
		if v, ok := l.fields[name].(string); ok && about[v] {
			return true
		}
	}
	return strings.HasPrefix(l.message, "Store ") || strings.HasPrefix(l.message, "Routes ") ||
		strings.HasPrefix(l.message, "Proxy ")
}

// write writes the line with its distance from the start of the story.
func (l line) write(w io.Writer, start time.Time) error {
	mark := " "
	if l.fields["Request"] != nil {
		mark = ">"
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if v := l.fields[name]; v != "" && v != nil {
			fmt.Fprintf(&text, " %s=%v", name, v)
		}
	}
	_, err := fmt.Fprintf(w, "%s %+8.3f s  %-18s %s%s\n", mark, l.at.Sub(start).Seconds(), l.source, l.message, text.String())
	return errors.WithStack(err)
}
