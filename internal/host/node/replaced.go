package node

import (
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
)

// errOlderRecord says that this proxy takes for the primary what a newer record had
// replaced, until it applies a record of the group again.
var errOlderRecord = errors.New("a newer record of the group was applied before")

// reportOlder reports that a record was applied after a newer one. Before is the state
// that the newer one had led to.
func (n *Node) reportOlder(r leadership.Record, before leader.State) {
	n.dependencies.Instruments.OlderRecordApplied()
	klog.ErrorS(errOlderRecord, "Older record of a primary applied", "Group", r.Group, "Endpoint", r.Endpoint, "Term", r.Term,
		"Closed", r.Closed, "Before", before.Endpoint, "Revision", r.Revision, "RevisionBefore", before.Recorded.Revision)
}

// reportUnconfirmed reports the commits that a primary has acknowledged to this proxy since
// its record was last known to be open, now that a record replaces it. The primary may have
// acknowledged the latest of them after its record was closed; the time at which the record
// was closed stands in the log of its holder.
func (n *Node) reportUnconfirmed(r leadership.Record, replaced leader.State, now time.Duration) {
	known := replaced.Recorded
	if known.Commits == 0 {
		return
	}
	n.dependencies.Instruments.CommitsUnconfirmed(known.Commits)
	klog.InfoS("Commits acknowledged since the record was last known to be open", "Group", r.Group, "Endpoint", replaced.Endpoint,
		"Term", replaced.Term, "Commits", known.Commits, "Position", known.LastCommit.String(),
		"CommitAgeMs", (now - known.LastCommitAt).Milliseconds(), "RecordAgeMs", replaced.RecordAgeMs(now),
		"Revision", r.Revision, "Holder", r.Holder)
}
