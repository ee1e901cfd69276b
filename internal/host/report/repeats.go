package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/logging"
)

const (
	// maxRepeatGap is the longest gap between two entries that are merged.
	// Rate-limited entries are logged once a second while their cause lasts.
	maxRepeatGap = 2 * time.Second
	// maxNamedSources is the maximum number of sources of a merged entry that are
	// listed by name. If there are more, only their number is written.
	maxNamedSources = 2
)

// mergedEntry is an entry together with its repeats, which may be from other
// logs. It is listed at the time of the first entry, which is embedded.
type mergedEntry struct {
	entry
	// count is the number of entries merged, and omitted the number of entries
	// that the rate limit has dropped according to their field Omitted.
	count, omitted int
	// last is the time of the last entry.
	last time.Time
	// sources holds the sources of the entries.
	sources map[string]bool
}

// mergeRepeats merges entries that repeat each other with gaps of at most
// maxRepeatGap, and sorts them by time. Entries for which keepSeparate is true
// are not merged.
func mergeRepeats(entries []entry, keepSeparate func(entry) bool) []*mergedEntry {
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, entry.compare)
	var merged []*mergedEntry
	// latest holds the latest merged entry of each key.
	latest := map[string]*mergedEntry{}
	// changes counts the changes of primary that have begun in each group. An
	// entry "not begun" after a change does not repeat one from before it.
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

// key returns the entry's message and the fields by which repeats are recognized. It
// leaves out the request and its database, the answers of asked members, and numbers,
// which are measurements, except for terms, tokens, versions and revisions. Numbers in the
// text of an error are masked.
func (e entry) key() string {
	var key strings.Builder
	key.WriteString(e.message)
	for _, name := range slices.Sorted(maps.Keys(e.fields)) {
		v := e.fields[name]
		switch name {
		case "Request", "Database", "Asked":
			continue
		case "Term", "Token", "Version":
		case "Revision":
			// The proxy that changed the record logs this before the store
			// returns the new revision.
			if e.message == messagePrimaryChanged {
				continue
			}
		case "Error", "Reason", "Detail":
			v = logging.ErrorPattern(fmt.Sprint(v))
		default:
			if _, ok := v.(float64); ok {
				continue
			}
		}
		fmt.Fprintf(&key, " %s=%v", name, v)
	}
	return key.String()
}

// repetition describes how often, until when and in which logs the entry was
// repeated. It is empty for a single entry.
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

// writeEntries writes entries with their time relative to start, and the mark
// ">" before those for which marked is true.
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
