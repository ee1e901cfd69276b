package caller

import (
	"strings"
	"unicode"
)

// leading returns the first word of a statement in upper case. It is all that
// the system reads of SQL.
func leading(text string) string {
	text = strings.TrimLeftFunc(text, func(r rune) bool { return unicode.IsSpace(r) || r == ';' || r == '(' })
	end := strings.IndexFunc(text, func(r rune) bool { return !unicode.IsLetter(r) })
	if end < 0 {
		end = len(text)
	}
	return strings.ToUpper(text[:end])
}

// opens reports whether a statement begins a transaction.
func opens(text string) bool {
	word := leading(text)
	return word == "BEGIN" || word == "START"
}

// closes reports whether a statement ends a transaction.
func closes(text string) bool {
	switch leading(text) {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	default:
		return false
	}
}

// declaresReadOnly reports whether a statement begins a transaction that only
// reads.
func declaresReadOnly(text string) bool {
	return opens(text) && strings.Contains(strings.ToUpper(text), "READ ONLY")
}

// unsupported returns why the system does not carry a statement, or nothing.
func unsupported(text string) string {
	switch leading(text) {
	case "COPY":
		return "COPY is not supported through the proxy"
	case "LISTEN", "UNLISTEN":
		return "LISTEN is not supported through the proxy, because connections are shared"
	default:
		return ""
	}
}
