// Package session holds the token of a session: the position that its reads must
// cover in each group.
package session

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// maxGroups is the maximum number of groups in a token that Parse accepts.
const maxGroups = 64

// maxTokenBytes is the maximum length of a text that Parse accepts, in bytes.
const maxTokenBytes = 8 << 10

// Token holds the position that reads must cover in each group. It is immutable. The
// zero value requires nothing.
type Token struct {
	// entries is sorted by group and has each group once. It is never modified.
	entries []entry
}

// entry is the position that reads of one group must cover.
type entry struct {
	group    string
	position position.Position
}

// Position returns the position for a group; zero if there is none.
func (t Token) Position(group string) position.Position {
	i, ok := t.find(group)
	if !ok {
		return position.Position{}
	}
	return t.entries[i].position
}

// WithPosition returns the token with a position for the group that also covers p.
func (t Token) WithPosition(group string, p position.Position) Token {
	i, ok := t.find(group)
	if ok && t.entries[i].position.Covering(p) == t.entries[i].position {
		return t
	}
	entries := slices.Clone(t.entries)
	if ok {
		entries[i].position = p
	} else {
		entries = slices.Insert(entries, i, entry{group: group, position: p})
	}
	return Token{entries: entries}
}

// String returns the text of the token, such as "orders-1:2.418,orders-2:1.77".
func (t Token) String() string {
	parts := make([]string, 0, len(t.entries))
	for _, e := range t.entries {
		parts = append(parts, e.group+":"+e.position.String())
	}
	return strings.Join(parts, ",")
}

// Parse parses a text that String returned. An empty text gives the zero token. The error
// is sent to callers.
func Parse(text string) (Token, error) {
	var t Token
	if text == "" {
		return t, nil
	}
	if len(text) > maxTokenBytes {
		return t, errors.Errorf("session token is longer than %d bytes", maxTokenBytes)
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxGroups {
		return t, errors.Errorf("session token names more than %d groups", maxGroups)
	}
	for _, part := range parts {
		group, encoded, ok := strings.Cut(part, ":")
		if !ok || group == "" {
			return Token{}, errors.Errorf("session token part %q is not GROUP:TERM.LOG", part)
		}
		p, err := position.Parse(encoded)
		if err != nil {
			return Token{}, errors.WithMessage(err, "session token")
		}
		t = t.WithPosition(group, p)
	}
	return t, nil
}

// find returns the index of the group's entry and true, or the index at which to insert
// one and false.
func (t Token) find(group string) (int, bool) {
	return slices.BinarySearchFunc(t.entries, group, func(e entry, g string) int {
		return strings.Compare(e.group, g)
	})
}
