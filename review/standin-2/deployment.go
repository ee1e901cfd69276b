package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// maxPlayTime bounds a case, so that its processes end even if it hangs.
const maxPlayTime = 115 * time.Second

// deployment is a simulated platform with proxies as processes of their own. Use
// newDeployment, then start.
type deployment struct {
	// trouble is false for a run without the disruption.
	trouble bool
	bed     *testbed.Testbed
	tasks   *task.Group
	cancel  context.CancelFunc
	// folder holds the settings and the logs of the proxies; it is removed at the end.
	folder string
	began  time.Time

	// mutex guards the record. No other lock is taken while it is held.
	mutex  sync.Mutex
	record *os.File
}

// newDeployment creates record.txt in the folder of a case. The platform is not started yet.
func newDeployment(caseFolder string, trouble bool) (*deployment, error) {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxPlayTime)
	return &deployment{
		trouble: trouble, tasks: task.New(ctx), cancel: cancel, folder: folder, began: time.Now(), record: record,
	}, nil
}

// start starts the platform with the groups of a plan.
func (d *deployment) start(p testbed.Plan) (err error) {
	d.bed, err = testbed.New(d.tasks, p)
	return err
}

// close ends all processes and the platform. With KEEP=1 in the environment it leaves the
// settings and the logs of the proxies in the temporary folder.
func (d *deployment) close() {
	d.tasks.Stop()
	_ = d.tasks.Wait() // the tasks end because they were stopped
	d.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
	_ = d.record.Close()
}

// write writes a line to the record, with the time since the start.
func (d *deployment) write(format string, arguments ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, _ = fmt.Fprintln(d.record, d.line(format, arguments...))
}

// note is write for a line that is printed too.
func (d *deployment) note(format string, arguments ...any) {
	d.write(format, arguments...)
	fmt.Println(d.line(format, arguments...))
}

// line returns a line of the record.
func (d *deployment) line(format string, arguments ...any) string {
	return fmt.Sprintf("%8.3f ", time.Since(d.began).Seconds()) + fmt.Sprintf(format, arguments...)
}

// pause waits for a time, or until the case ends.
func (d *deployment) pause(t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.tasks.Context().Done():
	}
}
