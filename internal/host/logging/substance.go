package logging

import (
	"slices"
	"strings"
)

// ErrorPattern returns a text to compare errors by: its words in a fixed order,
// with # for ports, addresses, positions and times, which differ from one try
// to the next. The name of an endpoint or a proxy has letters and stays; of
// name=number the name does.
func ErrorPattern(text string) string {
	words := strings.Fields(text)
	for i, w := range words {
		w = strings.Trim(w, "[](),;:")
		name, value, ok := strings.Cut(w, "=")
		switch {
		case ok && number(value):
			w = name + "=#"
		case number(w):
			w = "#"
		}
		words[i] = w
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// number reports whether a word is a number, an address, a position or a time.
func number(word string) bool {
	for _, unit := range []string{"ms", "µs", "ns", "s", "m", "h"} {
		if rest, ok := strings.CutSuffix(word, unit); ok {
			word = rest
			break
		}
	}
	return strings.ContainsAny(word, "0123456789") && strings.Trim(word, "0123456789.:+-/>") == ""
}
