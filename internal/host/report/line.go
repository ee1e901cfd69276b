package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

// The lines that begin a change of primary, that end it, and that tell what a
// proxy takes for the primary.
const (
	begun   = "Change of primary begun"
	refused = "Change of primary not begun"
	done    = "Change of primary done"
	changed = "Primary changed"
)

// line is one line of a structured log. It is immutable.
type line struct {
	// at is when it was written, and message what it says.
	at      time.Time
	message string
	// source is the file that it stands in.
	source string
	// fields holds the rest.
	fields map[string]any
}

// text returns a field that holds text; empty for none.
func (l line) text(name string) string {
	v, _ := l.fields[name].(string)
	return v
}

// compare puts the earlier line first.
func (l line) compare(other line) int {
	return cmp.Or(l.at.Compare(other.at), cmp.Compare(l.source, other.source))
}

// within reports whether the line was written from one time to another; a
// zero time is no bound.
func (l line) within(from, to time.Time) bool {
	return !l.at.Before(from) && (to.IsZero() || !l.at.After(to))
}

// tells reports whether the line is about one of the names.
func (l line) tells(about map[string]bool) bool {
	for _, name := range []string{"Group", "Endpoint", "Primary", "Before"} {
		if about[l.text(name)] {
			return true
		}
	}
	return false
}

// concernsAll reports whether the line is about what concerns all requests of
// its process.
func (l line) concernsAll() bool {
	return strings.HasPrefix(l.message, "Store ") || strings.HasPrefix(l.message, "Routes ") ||
		strings.HasPrefix(l.message, "Proxy ") || strings.HasPrefix(l.message, "Reload ")
}

// ofRequest reports whether the line is about a single request.
func (l line) ofRequest() bool { return l.fields["Request"] != nil }

// never is true of no line.
func never(line) bool { return false }

// steps reports whether the line is a step of a change of primary that has
// begun, or tells what it has lost.
func (l line) steps() bool {
	switch l.message {
	case begun, done, "Change of primary goes on", "Change of primary given up", "Replica chosen",
		"Promotion without an answer", "Primary lacks commits that may be acknowledged", "Term raised":
		return true
	default:
		return false
	}
}

// opens reports whether a proxy takes a group's primary for one that takes new
// work.
func (l line) opens() bool {
	return l.message == changed && l.fields["Closed"] == false
}

// inDoubt reports whether the line is about a request whose outcome the client
// was not told.
func (l line) inDoubt() bool {
	code := l.text("Code")
	return code == statement.InDoubt.String() || code == statement.TimedOut.String()
}

// number returns a field that holds a number; 0 for none.
func (l line) number(name string) int {
	v, _ := l.fields[name].(float64)
	return int(v)
}

// told returns all fields in order of their names.
func (l line) told() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch v := l.fields[name].(type) {
		case nil:
		case float64:
			fmt.Fprintf(&text, " %s=%s", name, strconv.FormatFloat(v, 'f', -1, 64))
		default:
			if v != "" {
				fmt.Fprintf(&text, " %s=%v", name, v)
			}
		}
	}
	return text.String()
}
