package caller

import (
	"strings"
	"unicode"
)

// firstKeyword returns the first word of a statement in upper case. It is all that
// the system reads of SQL.
func firstKeyword(text string) string {
	text = strings.TrimLeftFunc(text, func(r rune) bool { return unicode.IsSpace(r) || r == ';' || r == '(' })
	end := strings.IndexFunc(text, func(r rune) bool { return !unicode.IsLetter(r) })
	if end < 0 {
		end = len(text)
	}
	return strings.ToUpper(text[:end])
}

// beginsTransaction reports whether a statement begins a transaction.
func beginsTransaction(text string) bool {
	word := firstKeyword(text)
	return word == "BEGIN" || word == "START"
}

// endsTransaction reports whether a statement ends a transaction.
func endsTransaction(text string) bool {
	switch firstKeyword(text) {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	default:
		return false
	}
}

// declaresReadOnly reports whether a statement begins a transaction that only
// reads.
func declaresReadOnly(text string) bool {
	return beginsTransaction(text) && strings.Contains(strings.ToUpper(text), "READ ONLY")
}

// unsupportedReason returns why the system does not carry a statement, or nothing.
func unsupportedReason(text string) string {
	switch firstKeyword(text) {
	case "COPY":
		return "COPY is not supported through the proxy"
	case "LISTEN", "UNLISTEN":
		return "LISTEN is not supported through the proxy, because connections are shared"
	default:
		return ""
	}
}
