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
	// foldGap is how long nobody may have said the same before it counts as
	// said anew. A line within a budget is written each second.
	foldGap = 2 * time.Second
	// mostNamed is how many sources of a line are named; of more the number
	// is told.
	mostNamed = 2
)

// folded is a line together with those that say the same, perhaps in other
// files. It stands where the first of them does.
type folded struct {
	line
	// count is how many lines it stands for, and omitted how many more those
	// lines say were left out.
	count, omitted int
	// last is when the last of them was written.
	last time.Time
	// sources holds the files that they stand in.
	sources map[string]bool
}

// fold joins lines that say the same without a pause, and puts them in order
// of time. Some lines stand for themselves.
func fold(lines []line, alone func(line) bool) []*folded {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, line.compare)
	var all []*folded
	open := map[string]*folded{}
	// changes counts the changes of each group: a refusal after one is new.
	changes := map[string]int{}
	for _, one := range lines {
		if one.message == begun {
			changes[one.text("Group")]++
		}
		key := one.key()
		if one.message == refused {
			key = fmt.Sprint(key, changes[one.text("Group")])
		}
		f, ok := open[key]
		if !ok || alone(one) || one.at.Sub(f.last) > foldGap {
			f = &folded{line: one, sources: map[string]bool{}}
			open[key] = f
			all = append(all, f)
		}
		f.count++
		f.omitted += one.number("Omitted")
		f.last = one.at
		f.sources[one.source] = true
	}
	return all
}

// key returns what a line says: its message and its fields without measures.
// Lines with one key differ in who wrote them and when.
func (l line) key() string {
	var key strings.Builder
	key.WriteString(l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		v := l.fields[name]
		switch name {
		case "Request", "Database":
			continue
		case "Term", "Token", "Version":
		case "Revision":
			// The proxy that opens a record tells of it before the store does.
			if l.message == changed {
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

// times tells how often the line was written, until when and by whom; empty
// if it was once.
func (f *folded) times(start time.Time) string {
	if f.count == 1 {
		return ""
	}
	var text strings.Builder
	fmt.Fprintf(&text, " [%d times", f.count)
	if f.omitted > 0 {
		fmt.Fprintf(&text, " and %d left out", f.omitted)
	}
	fmt.Fprintf(&text, " until %+.3f s", f.last.Sub(start).Seconds())
	switch n := len(f.sources); {
	case n > mostNamed:
		fmt.Fprintf(&text, " in %d files", n)
	case n > 1:
		fmt.Fprintf(&text, " in %s", strings.Join(slices.Sorted(maps.Keys(f.sources)), ", "))
	}
	return text.String() + "]"
}

// writeAll writes lines with their distance from the start, and a mark before
// some.
func writeAll(w io.Writer, all []*folded, start time.Time, marked func(line) bool) error {
	for _, f := range all {
		mark := " "
		if marked(f.line) {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %+8.3f s  %-18s %s%s%s\n", mark, f.at.Sub(start).Seconds(), f.source, f.message,
			f.times(start), f.told()); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
