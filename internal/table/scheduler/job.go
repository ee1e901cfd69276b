package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/policy/shedding"
)

// Job is a statement that waits for an endpoint. Its fields must not change
// after Submit.
type Job struct {
	// Need is what the statement requires of its endpoint.
	Need placement.Need
	// Team is the name of the team whose connections the statement may use; empty for the
	// connections that serve no team.
	Team string
	// Priority is 0 for the most urgent work.
	Priority int
	// Arrived is when the proxy had received the whole statement.
	Arrived time.Time
	// Timeout is the total time that the statement may take.
	Timeout time.Duration
	// Target is the time within which the statement should be answered.
	Target time.Duration
	// Run is called by a worker with the assignment.
	Run func(Assignment)
}

// before reports whether j goes before k: the job with the more urgent
// priority goes first, and of equal ones that whose target's time ends first.
func (j *Job) before(k *Job) bool {
	if j.Priority != k.Priority {
		return j.Priority < k.Priority
	}
	return j.Arrived.Add(j.Target).Before(k.Arrived.Add(k.Target))
}

// wait returns how long the job has waited, with its timeout and target.
func (j *Job) wait(now time.Time) shedding.Wait {
	return shedding.Wait{Waited: now.Sub(j.Arrived), Timeout: j.Timeout, Target: j.Target}
}

// Assignment is the endpoint that the table assigns to a job, or a refusal. It
// is immutable.
type Assignment struct {
	// Refused is true if the job must not wait longer. Of the other fields
	// only Reason and Shortage are then set.
	Refused bool
	// Reason says why a refused job was waiting.
	Reason Reason
	// Shortage says what a job lacked that was refused for NoCapacity.
	Shortage Shortage
	// Endpoint is the endpoint that runs the job.
	Endpoint topology.Endpoint
	// After is the position that the endpoint's log must hold.
	After position.Position
	// Primary is true if the endpoint was chosen as the primary.
	Primary bool
	// Term is the term of the group's primary; zero if it is not known.
	Term uint64
	// Chosen is the time since boot at which the endpoint was chosen.
	Chosen time.Duration
	// Connection is the job's until Return or Discard is called. It is nil if
	// the job has to open one.
	Connection eelgrassladder.Connection
	run        func(Assignment)
}

// Do calls the job's Run function.
func (a Assignment) Do() { a.run(a) }

// Reason says why a job waits.
type Reason int

// Reasons for waiting.
const (
	// NoCapacity means that no eligible endpoint can take another statement of
	// this proxy.
	NoCapacity Reason = iota
	// NoPrimary means that the primary is unknown or being replaced.
	NoPrimary
	// NoProof means that there is no valid proof that the primary is the only
	// one.
	NoProof
	// NoEndpoint means that the platform lists no endpoint of the group.
	NoEndpoint
	// NoReplica means that the primary acknowledges no writes, because no
	// replica receives them.
	NoReplica
)

// String returns the reason's text in logs and messages.
func (r Reason) String() string {
	return [...]string{"NoCapacity", "NoPrimary", "NoProof", "NoEndpoint", "NoReplica"}[r]
}

// Shortage says what a statement lacks for which no endpoint has capacity.
type Shortage int

// The shortages.
const (
	// NoShortage means that the statement lacks none of the others.
	NoShortage Shortage = iota
	// EndpointUnusable means that no endpoint that could run the statement may be used now.
	EndpointUnusable
	// ConnectionInUse means that this proxy uses all connections that it may have.
	ConnectionInUse
	// ConnectionNotOpened means that no connection is free and none may be opened yet.
	ConnectionNotOpened
	// StatementsLimited means that this proxy runs as many statements as the endpoint takes.
	StatementsLimited
)

// String returns the shortage's text in logs and messages.
func (s Shortage) String() string {
	return [...]string{"NoShortage", "EndpointUnusable", "ConnectionInUse", "ConnectionNotOpened", "StatementsLimited"}[s]
}
