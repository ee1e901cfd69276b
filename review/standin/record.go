package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// record is the file with what was sent, answered and run, one event a line. It is safe for
// concurrent use.
type record struct {
	began time.Time

	// mutex guards the field below. No other lock is taken while it is held.
	mutex sync.Mutex
	file  *os.File
}

// newRecord creates the file of a record.
func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &record{began: time.Now(), file: file}, nil
}

// add writes a line that begins with the time since the beginning, in seconds.
func (r *record) add(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.WriteString(line) // a record that cannot be written is noticed when it is read
}

// close closes the file.
func (r *record) close() { _ = r.file.Close() }
