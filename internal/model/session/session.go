// Package session holds the token of a session: the positions that its
// reads must cover, group by group.
package session

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// maxGroups bounds the groups of one token, and so its length.
const maxGroups = 64

// maxTokenBytes bounds the text of a token that Parse accepts.
const maxTokenBytes = 8 << 10

// Token is an immutable set of positions, one a group. The zero value asks
// for nothing.
type Token struct {
	// marks is sorted by group and holds each group once; it is never
	// changed after the token was made.
	marks []mark
}

// mark is the position that reads of one group must cover.
type mark struct {
	group    string
	position position.Position
}

// Position returns the position for a group, zero if there is none.
func (t Token) Position(group string) position.Position {
	i, ok := t.find(group)
	if !ok {
		return position.Position{}
	}
	return t.marks[i].position
}

// WithPosition returns a token that also covers p in the group.
func (t Token) WithPosition(group string, p position.Position) Token {
	i, ok := t.find(group)
	if ok && t.marks[i].position.Later(p) == t.marks[i].position {
		return t
	}
	marks := slices.Clone(t.marks)
	if ok {
		marks[i].position = p
	} else {
		marks = slices.Insert(marks, i, mark{group: group, position: p})
	}
	return Token{marks: marks}
}

// String returns the token as text that a caller carries, such as
// "orders-1:2.418,orders-2:1.77".
func (t Token) String() string {
	parts := make([]string, 0, len(t.marks))
	for _, m := range t.marks {
		parts = append(parts, m.group+":"+m.position.String())
	}
	return strings.Join(parts, ",")
}

// Parse reads a token written by String. An empty text is the zero token.
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
		group, place, ok := strings.Cut(part, ":")
		if !ok || group == "" {
			return Token{}, errors.Errorf("session token part %q is not GROUP:TERM.LOG", part)
		}
		p, err := position.Parse(place)
		if err != nil {
			return Token{}, errors.WithMessage(err, "session token")
		}
		t = t.WithPosition(group, p)
	}
	return t, nil
}

// find returns the place of the group among the marks.
func (t Token) find(group string) (int, bool) {
	return slices.BinarySearchFunc(t.marks, group, func(m mark, g string) int {
		return strings.Compare(m.group, g)
	})
}
