package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/journal"
)

const (
	// maxRepeatGap is how long nobody may have said the same before it counts as
	// said anew. A line within a budget is written each second.
	maxRepeatGap = 2 * time.Second
	// maxNamedSources is how many sources of a line are named; of more the number
	// is told.
	maxNamedSources = 2
)

// mergedEntry is a line together with those that say the same, perhaps in other
// files. It stands where the first of them does.
type mergedEntry struct {
	entry
	// count is how many lines it stands for, and omitted how many more those
	// lines say were left out.
	count, omitted int
	// last is when the last of them was written.
	last time.Time
	// sources holds the files that they stand in.
	sources map[string]bool
}

// mergeRepeats joins lines that say the same without a pause, and puts them in order
// of time. Some lines stand for themselves.
func mergeRepeats(entries []entry, keepSeparate func(entry) bool) []*mergedEntry {
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, entry.compare)
	var merged []*mergedEntry
	latest := map[string]*mergedEntry{}
	// changes counts the changes of each group: a refusal after one is new.
	changes := map[string]int{}
	for _, e := range entries {
		if e.message == messageBegun {
			changes[e.text("Group")]++
		}
		key := e.key()
		if e.message == messageNotBegun {
			key = fmt.Sprint(key, changes[e.text("Group")])
		}
		m, ok := latest[key]
		if !ok || keepSeparate(e) || e.at.Sub(m.last) > maxRepeatGap {
			m = &mergedEntry{entry: e, sources: map[string]bool{}}
			latest[key] = m
			merged = append(merged, m)
		}
		m.count++
		m.omitted += e.number("Omitted")
		m.last = e.at
		m.sources[e.source] = true
	}
	return merged
}

// key returns what a line says: its message and its fields without measures.
// Lines with one key differ in who wrote them and when.
func (e entry) key() string {
	var key strings.Builder
	key.WriteString(e.message)
	for _, name := range slices.Sorted(maps.Keys(e.fields)) {
		v := e.fields[name]
		switch name {
		case "Request", "Database":
			continue
		case "Term", "Token", "Version":
		case "Revision":
			// The proxy that opens a record tells of it before the store does.
			if e.message == messagePrimaryChanged {
				continue
			}
		case "Error", "Reason", "Detail":
			v = journal.Substance(fmt.Sprint(v))
		default:
			if _, ok := v.(float64); ok {
				continue
			}
		}
		fmt.Fprintf(&key, " %s=%v", name, v)
	}
	return key.String()
}

// repetition tells how often the line was written, until when and by whom; empty
// if it was once.
func (m *mergedEntry) repetition(start time.Time) string {
	if m.count == 1 {
		return ""
	}
	var text strings.Builder
	fmt.Fprintf(&text, " [%d times", m.count)
	if m.omitted > 0 {
		fmt.Fprintf(&text, " and %d left out", m.omitted)
	}
	fmt.Fprintf(&text, " until %+.3f s", m.last.Sub(start).Seconds())
	switch n := len(m.sources); {
	case n > maxNamedSources:
		fmt.Fprintf(&text, " in %d files", n)
	case n > 1:
		fmt.Fprintf(&text, " in %s", strings.Join(slices.Sorted(maps.Keys(m.sources)), ", "))
	}
	return text.String() + "]"
}

// writeEntries writes lines with their distance from the start, and a mark before
// some.
func writeEntries(w io.Writer, merged []*mergedEntry, start time.Time, marked func(entry) bool) error {
	for _, m := range merged {
		mark := " "
		if marked(m.entry) {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %+8.3f s  %-18s %s%s%s\n", mark, m.at.Sub(start).Seconds(), m.source, m.message,
			m.repetition(start), m.formatFields()); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
