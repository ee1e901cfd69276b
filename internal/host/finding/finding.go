// Package finding decodes JSON with comments and collects everything that is
// wrong with it as findings, so that all faults of a file are reported together.
// A fault of the structure hides faults of the values, which are checked last.
package finding

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Finding is one fault of a file.
type Finding struct {
	// File is the name of the file.
	File string
	// Line counts from one. It is zero if the file could not be read, and one if
	// the line is not known.
	Line int
	// Path leads to the value, such as /Classes/0/Target/Share; "/" for the file
	// as a whole.
	Path string
	// Message says what is wrong, or what the value must be.
	Message string
}

// String returns the finding as FILE:LINE: PATH: MESSAGE.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Message)
}

// Findings lists the faults of one or more files. Findings of one file are
// sorted by line.
type Findings []Finding

// Lines returns the text of each finding.
func (f Findings) Lines() []string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return lines
}

// Err returns nil if there are no findings, and otherwise one error with a
// line for each.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(strings.Join(f.Lines(), "\n"))
}

// sorted sorts the findings by line, in place, and returns them.
func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(a, b Finding) int { return a.Line - b.Line })
	return f
}
