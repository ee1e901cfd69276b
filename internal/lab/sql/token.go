// Package sql is the SQL engine of the simulated members of database groups. It has tables
// in memory, transactions, and only the statements that the load and the tests use. It is
// not part of the product.
package sql

import (
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// Error is an error with its SQLSTATE, as the member sends it to the client.
type Error struct {
	// Code is the SQLSTATE.
	Code string
	// Message is one line of text.
	Message string
}

// Error returns the message followed by the code.
func (e *Error) Error() string { return e.Message + " (" + e.Code + ")" }

// NewError returns an Error with the SQLSTATE and message.
func NewError(code, message string) error { return &Error{Code: code, Message: message} }

// The SQLSTATEs of the engine's errors.
const (
	CodeSyntax        = "42601"
	CodeNoTable       = "42P01"
	CodeNoColumn      = "42703"
	CodeNoFunction    = "42883"
	CodeDuplicate     = "23505"
	CodeDuplicateName = "42P07"
	CodeReadOnly      = "25006"
	CodeSerialization = "40001"
	CodeAborted       = "25P02"
	CodeInvalidText   = "22P02"
)

// tokenKind is the kind of a token.
type tokenKind int

const (
	wordToken tokenKind = iota
	numberToken
	// textToken is a string constant, in single quotes.
	textToken
	symbolToken
	parameterToken
	endToken
)

// token is a lexical token of a statement, or the end of the text.
type token struct {
	kind tokenKind
	// value is the text of the token: without quotes, in lower case for an unquoted word,
	// and without the $ for a parameter.
	value string
}

// scan splits a text into tokens, of which the last is an endToken. It skips comments.
func scan(s string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(s); {
		char := s[i]
		switch {
		case unicode.IsSpace(rune(char)):
			i++
		case strings.HasPrefix(s[i:], "--"):
			i = skipLine(s, i)
		case char == '\'' || char == '"':
			value, next, err := scanQuoted(s, i)
			if err != nil {
				return nil, err
			}
			kind := textToken
			if char == '"' {
				kind = wordToken
			}
			tokens = append(tokens, token{kind, value})
			i = next
		case char == '$':
			next := scanWhile(s, i+1, isDigit)
			tokens = append(tokens, token{parameterToken, s[i+1 : next]})
			i = next
		case isDigit(char):
			next := scanWhile(s, i, func(b byte) bool { return isDigit(b) || b == '.' })
			tokens = append(tokens, token{numberToken, s[i:next]})
			i = next
		case isWord(char):
			next := scanWhile(s, i, func(b byte) bool { return isWord(b) || isDigit(b) || b == '.' })
			tokens = append(tokens, token{wordToken, strings.ToLower(s[i:next])})
			i = next
		default:
			tokens = append(tokens, token{symbolToken, string(char)})
			i++
		}
	}
	return append(tokens, token{kind: endToken}), nil
}

// scanQuoted scans the quoted text that starts at i. It returns the text without quotes, in
// which a doubled quote stands for one, and the index after the text.
func scanQuoted(s string, i int) (string, int, error) {
	quote := s[i]
	var b strings.Builder
	for j := i + 1; j < len(s); j++ {
		if s[j] != quote {
			b.WriteByte(s[j])
			continue
		}
		if j+1 < len(s) && s[j+1] == quote {
			b.WriteByte(quote)
			j++
			continue
		}
		return b.String(), j + 1, nil
	}
	return "", 0, errors.WithStack(NewError(CodeSyntax, "unterminated quoted text"))
}

// skipLine returns the index of the start of the next line after i, or the length of s.
func skipLine(s string, i int) int {
	if n := strings.IndexByte(s[i:], '\n'); n >= 0 {
		return i + n + 1
	}
	return len(s)
}

// scanWhile returns the index of the first byte from i on that doesn't match.
func scanWhile(s string, i int, matches func(byte) bool) int {
	for i < len(s) && matches(s[i]) {
		i++
	}
	return i
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool { return c == '_' || unicode.IsLetter(rune(c)) }
