package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/policy/shedding"
)

// Job is a statement that waits for an endpoint. Its fields do not change
// after Submit.
type Job struct {
	// Need is what the statement asks of its endpoint.
	Need placement.Need
	// Priority is 0 for the most urgent work.
	Priority int
	// Arrived is when the proxy had the whole statement.
	Arrived time.Time
	// Timeout is the time that the statement has in all.
	Timeout time.Duration
	// Target is the time in which it should be answered.
	Target time.Duration
	// Run is called by a worker with what the table assigned.
	Run func(Assignment)
}

// before reports whether j goes before k: the more urgent one, or the one
// whose target ends first.
func (j *Job) before(k *Job) bool {
	if j.Priority != k.Priority {
		return j.Priority < k.Priority
	}
	return j.Arrived.Add(j.Target).Before(k.Arrived.Add(k.Target))
}

// wait is what patience may know of the job.
func (j *Job) wait(now time.Time) shedding.Wait {
	return shedding.Wait{Waited: now.Sub(j.Arrived), Timeout: j.Timeout, Target: j.Target}
}

// Assignment is what the table gives a job. It is immutable.
type Assignment struct {
	// Refused is true when waiting is of no use; of the other fields only
	// Reason is then set.
	Refused bool
	// Reason says why the job waited, for a refusal.
	Reason Reason
	// Endpoint is where the job shall run.
	Endpoint topology.Endpoint
	// After is the position that the endpoint's log must hold.
	After position.Position
	// Primary is true if the endpoint was chosen as the primary.
	Primary bool
	// Term is the term of the group's lead; zero if it is not known.
	Term uint64
	// Chosen is the boot time at which the endpoint was chosen.
	Chosen time.Duration
	// Connection is idle and the job's until it is given back; nil if the job
	// shall open one.
	Connection eelgrassladder.Connection
	// run is the job's function.
	run func(Assignment)
}

// Do runs the job.
func (a Assignment) Do() { a.run(a) }

// Reason says why a job waits.
type Reason int

// The reasons.
const (
	// NoCapacity means that all connections of eligible endpoints are taken.
	NoCapacity Reason = iota
	// NoPrimary means that the primary is being replaced or unknown.
	NoPrimary
	// NoProof means that it is not certain what the primary has acknowledged.
	NoProof
	// NoEndpoint means that the group has no endpoint in use.
	NoEndpoint
	// NoReplica means that the primary acknowledges no writes: no replica
	// receives them.
	NoReplica
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"NoCapacity", "NoPrimary", "NoProof", "NoEndpoint", "NoReplica"}[r]
}
