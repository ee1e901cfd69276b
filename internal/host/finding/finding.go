// Package finding reads JSON with comments and collects everything that is
// wrong with it, each finding with its place, to be reported together.
package finding

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Finding is one fault of a file.
type Finding struct {
	// File is the name that the reader was given.
	File string
	// Line counts from one; zero when the fault has no line.
	Line int
	// Path leads to the value, such as /Classes/0/Target/Share.
	Path string
	// Message says what is wrong and what would be right.
	Message string
}

// String returns the finding as FILE:LINE: PATH: MESSAGE.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Message)
}

// Findings is everything found in one or more files, in order of place.
type Findings []Finding

// Lines returns each finding as one line.
func (f Findings) Lines() []string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return lines
}

// Err returns nil if nothing was found, and otherwise one error that holds
// all findings.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(strings.Join(f.Lines(), "\n"))
}

// sorted returns the findings in order of line.
func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(a, b Finding) int { return a.Line - b.Line })
	return f
}
