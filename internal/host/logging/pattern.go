package logging

import (
	"slices"
	"strings"
)

// ErrorPattern returns a text by which to compare errors. Its words are sorted,
// and # replaces ports, addresses, positions and durations, which differ
// between tries. Names of endpoints and proxies contain letters and are kept,
// as is the name in name=number.
func ErrorPattern(text string) string {
	words := strings.Fields(text)
	for i, word := range words {
		word = strings.Trim(word, "[](),;:")
		name, value, ok := strings.Cut(word, "=")
		switch {
		case ok && isNumeric(value):
			word = name + "=#"
		case isNumeric(word):
			word = "#"
		}
		words[i] = word
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// isNumeric reports whether a word is a number, an address, a position or a
// duration.
func isNumeric(word string) bool {
	for _, unit := range []string{"ms", "µs", "ns", "s", "m", "h"} {
		if rest, ok := strings.CutSuffix(word, unit); ok {
			word = rest
			break
		}
	}
	return strings.ContainsAny(word, "0123456789") && strings.Trim(word, "0123456789.:+-/>") == ""
}
