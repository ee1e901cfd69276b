package caller

import (
	"strings"
	"unicode"
)

// firstKeyword returns the first word of a statement in upper case. Apart from READ
// ONLY after BEGIN, the system parses nothing else of SQL.
func firstKeyword(text string) string {
	text = strings.TrimLeftFunc(text, func(r rune) bool { return unicode.IsSpace(r) || r == ';' || r == '(' })
	end := strings.IndexFunc(text, func(r rune) bool { return !unicode.IsLetter(r) })
	if end < 0 {
		end = len(text)
	}
	return strings.ToUpper(text[:end])
}

func beginsTransaction(text string) bool {
	word := firstKeyword(text)
	return word == "BEGIN" || word == "START"
}

func endsTransaction(text string) bool {
	switch firstKeyword(text) {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	default:
		return false
	}
}

// declaresReadOnly reports whether a statement begins a READ ONLY transaction.
func declaresReadOnly(text string) bool {
	return beginsTransaction(text) && strings.Contains(strings.ToUpper(text), "READ ONLY")
}

// unsupportedReason returns why the system does not run a statement, or the empty
// string if it does.
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
