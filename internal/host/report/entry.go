package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
)

// The lines that begin a change of primary, that end it, and that tell what a
// proxy takes for the primary.
const (
	messageBegun          = "Change of primary begun"
	messageNotBegun       = "Change of primary not begun"
	messageDone           = "Change of primary done"
	messagePrimaryChanged = "Primary changed"
)

// entry is one line of a structured log. It is immutable.
type entry struct {
	// at is when it was written, and message what it says.
	at      time.Time
	message string
	// source is the file that it stands in.
	source string
	// fields holds the rest.
	fields map[string]any
}

// text returns a field that holds text; empty for none.
func (e entry) text(name string) string {
	v, _ := e.fields[name].(string)
	return v
}

// compare puts the earlier line first.
func (e entry) compare(other entry) int {
	return cmp.Or(e.at.Compare(other.at), cmp.Compare(e.source, other.source))
}

// within reports whether the line was written from one time to another; a
// zero time is no bound.
func (e entry) within(from, to time.Time) bool {
	return !e.at.Before(from) && (to.IsZero() || !e.at.After(to))
}

// mentions reports whether the line is about one of the names.
func (e entry) mentions(names map[string]bool) bool {
	for _, name := range []string{"Group", "Endpoint", "Primary", "Before"} {
		if names[e.text(name)] {
			return true
		}
	}
	return false
}

// isProcessWide reports whether the line is about what concerns all requests of
// its process.
func (e entry) isProcessWide() bool {
	return strings.HasPrefix(e.message, "Store ") || strings.HasPrefix(e.message, "Routes ") ||
		strings.HasPrefix(e.message, "Proxy ") || strings.HasPrefix(e.message, "Reload ")
}

// isRequest reports whether the line is about a single request.
func (e entry) isRequest() bool { return e.fields["Request"] != nil }

// none is true of no line.
func none(entry) bool { return false }

// isChangeStep reports whether the line is a step of a change of primary that has
// begun, or tells what it has lost.
func (e entry) isChangeStep() bool {
	switch e.message {
	case messageBegun, messageDone, "Change of primary goes on", "Change of primary given up", "Replica chosen",
		"Promotion without an answer", "Primary lacks commits that may be acknowledged", "Term raised":
		return true
	default:
		return false
	}
}

// opensPrimary reports whether a proxy takes a group's primary for one that takes new
// work.
func (e entry) opensPrimary() bool {
	return e.message == messagePrimaryChanged && e.fields["Closed"] == false
}

// outcomeUnknown reports whether the line is about a request whose outcome the client
// was not told.
func (e entry) outcomeUnknown() bool {
	code := e.text("Code")
	return code == statement.InDoubt.String() || code == statement.TimedOut.String()
}

// number returns a field that holds a number; 0 for none.
func (e entry) number(name string) int {
	v, _ := e.fields[name].(float64)
	return int(v)
}

// formatFields returns all fields in order of their names.
func (e entry) formatFields() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(e.fields)) {
		switch v := e.fields[name].(type) {
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
