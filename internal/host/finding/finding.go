// Package finding decodes JSON with comments and collects everything that is
// wrong with it, with file, line and path, so that all faults of a file are
// reported together.
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
	// Line counts from one; zero for a fault of the file as a whole.
	Line int
	// Path leads to the value, such as /Classes/0/Target/Share.
	Path string
	// Message says what is wrong, or what the value must be.
	Message string
}

// String returns the finding as FILE:LINE: PATH: MESSAGE.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Message)
}

// Findings is what was found in one or more files. Findings of one file are
// sorted by line.
type Findings []Finding

// Lines returns each finding as one line.
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

// sorted sorts the findings by line in place.
func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(a, b Finding) int { return a.Line - b.Line })
	return f
}
