package caller

import (
	"strings"
	"unicode"
)

// firstKeyword returns the first word of a statement in upper case, after spaces,
// semicolons and opening parentheses. It returns an empty string if anything else comes
// before the word, such as a comment. Besides, only declaresReadOnly and setting.go look
// at the text of SQL.
func firstKeyword(text string) string {
	text = strings.TrimLeftFunc(text, func(r rune) bool { return unicode.IsSpace(r) || r == ';' || r == '(' })
	end := strings.IndexFunc(text, func(r rune) bool { return !unicode.IsLetter(r) })
	if end < 0 {
		end = len(text)
	}
	return strings.ToUpper(text[:end])
}

// beginsTransaction reports whether a statement is a BEGIN or a START TRANSACTION.
func beginsTransaction(text string) bool {
	word := firstKeyword(text)
	return word == "BEGIN" || word == "START"
}

// endsTransaction reports whether a statement ends a transaction. ROLLBACK TO a savepoint
// ends none.
func endsTransaction(text string) bool {
	switch firstKeyword(text) {
	case "COMMIT", "END", "ABORT":
		return true
	case "ROLLBACK":
		return !rollsBackToSavepoint(text)
	default:
		return false
	}
}

// rollsBackToSavepoint reports whether a ROLLBACK statement names a savepoint: ROLLBACK
// [WORK | TRANSACTION] TO [SAVEPOINT] name.
func rollsBackToSavepoint(text string) bool {
	words := strings.Fields(strings.ToUpper(strings.TrimLeft(text, " \t\r\n;(")))
	if len(words) > 1 && (words[1] == "WORK" || words[1] == "TRANSACTION") {
		words = words[1:]
	}
	return len(words) > 1 && words[1] == "TO"
}

// declaresReadOnly reports whether a statement begins a READ ONLY transaction.
func declaresReadOnly(text string) bool {
	return beginsTransaction(text) && strings.Contains(strings.ToUpper(text), "READ ONLY")
}

// unsupportedReason returns why the proxy refuses to run a statement, or an empty string
// if it does not.
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
