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

// Log messages about changes of primary. Do not change these and the other
// messages in this file: explain also reads logs of earlier builds.
const (
	messageBegun          = "Change of primary begun"
	messageNotBegun       = "Change of primary not begun"
	messageDone           = "Change of primary done"
	messagePrimaryChanged = "Primary changed"
	messageChosen         = "Replica chosen"
	messageOrdered        = "Promotion ordered"
	messageAnswered       = "Promotion answered"
	messageNotAnswered    = "Promotion without an answer"
	messageCallEnded      = "Promotion call ended"
	messageLeads          = "Promoted endpoint leads"
	messageLeadsAlready   = "Endpoint leads a later term already"
	messageResumed        = "Replica of an earlier attempt resumed"
	messageOlderRecord    = "Older record of a primary applied"
	messageListed         = "Endpoint listed"
	messageServed         = "Request served"
	// A commit that was passed on although the record was not surely open, and the
	// commits that turned out so later.
	messageCommitDoubted    = "Commit passed on without a fresh record"
	messageCommitsSinceOpen = "Commits acknowledged since the record was last known to be open"
)

// entry is one line of a structured log. It is immutable.
type entry struct {
	// at is the time of the entry.
	at      time.Time
	message string
	// source names the log file, or the process that wrote the entry.
	source string
	// fields holds the fields other than time, message and level.
	fields map[string]any
}

// text returns a field that holds a string, or an empty string.
func (e entry) text(name string) string {
	v, _ := e.fields[name].(string)
	return v
}

// compare orders entries by time and then by source.
func (e entry) compare(other entry) int {
	return cmp.Or(e.at.Compare(other.at), cmp.Compare(e.source, other.source))
}

// within reports whether the entry was written from one time to another,
// inclusive. If to is zero, there is no upper bound.
func (e entry) within(from, to time.Time) bool {
	return !e.at.Before(from) && (to.IsZero() || !e.at.After(to))
}

// mentions reports whether a field of the entry names one of the groups or
// endpoints.
func (e entry) mentions(names map[string]bool) bool {
	for _, name := range []string{"Group", "Endpoint", "Primary", "Before"} {
		if names[e.text(name)] {
			return true
		}
	}
	return false
}

// isProcessWide reports whether the entry may concern all requests of its
// process: it is about the store, the routes, the proxies or a reload.
func (e entry) isProcessWide() bool {
	return strings.HasPrefix(e.message, "Store ") || strings.HasPrefix(e.message, "Routes ") ||
		strings.HasPrefix(e.message, "Proxy ") || strings.HasPrefix(e.message, "Reload ")
}

// isRequest reports whether the entry is about a single request.
func (e entry) isRequest() bool { return e.fields["Request"] != nil }

// matchNone matches no entry.
func matchNone(entry) bool { return false }

// isChangeStep reports whether the entry is a step of a change of primary that
// has begun, a raised term, or a report of commits that a primary lacks or may have
// acknowledged too late.
func (e entry) isChangeStep() bool {
	switch e.message {
	case messageBegun, messageDone, "Change of primary goes on", "Change of primary given up", messageChosen,
		messageOrdered, messageAnswered, messageNotAnswered, messageCallEnded, messageLeads, messageLeadsAlready,
		messageResumed, messageOlderRecord, messageCommitsSinceOpen, "Primary lacks commits that may be acknowledged", "Term raised":
		return true
	default:
		return false
	}
}

// opensPrimary reports whether the entry says that a group's primary is open
// to new work.
func (e entry) opensPrimary() bool {
	return e.message == messagePrimaryChanged && e.fields["Closed"] == false
}

// outcomeUnknown reports whether the entry is about a request that was answered
// with an unknown outcome.
func (e entry) outcomeUnknown() bool {
	code := e.text("Code")
	return code == statement.InDoubt.String() || code == statement.TimedOut.String()
}

// number returns the whole part of a field that holds a number, or 0.
func (e entry) number(name string) int {
	v, _ := e.fields[name].(float64)
	return int(v)
}

// formatFields formats the non-empty fields in order of name.
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
