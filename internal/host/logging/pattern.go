package logging

import (
	"slices"
	"strings"
)

// ErrorPattern returns a text that is equal for errors which differ only in
// numbers or in the order of words. Words that are numbers, addresses, positions
// or durations are replaced by #, because they differ between tries; in
// name=number only the number is. Names of endpoints and proxies contain letters
// and are kept.
func ErrorPattern(text string) string {
	words := strings.Fields(text)
	for i, word := range words {
		word = strings.Trim(word, "[](),;:")
		name, value, hasName := strings.Cut(word, "=")
		switch {
		case hasName && isNumeric(value):
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
