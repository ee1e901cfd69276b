package scheduler

import (
	"slices"
	"strconv"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/opening"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

const (
	// initialServiceTime is the forecast for an endpoint that has not answered
	// yet.
	initialServiceTime = 15 * time.Millisecond
	// serviceTimeWeight is the weight of a new measurement in the forecast.
	serviceTimeWeight = 0.1
	// minLackTime is how long an endpoint that lacked a position is skipped for
	// reads that need it. The time doubles with each further such answer, up to
	// maxLackTime.
	minLackTime = 25 * time.Millisecond
	maxLackTime = time.Second
	// The limit of statements at an endpoint follows additive increase,
	// multiplicative decrease: it is multiplied by busyLimitFactor when the
	// endpoint is busy, and rises by limitStep with each executed statement. It
	// falls by limitStep instead while the endpoint queues statements.
	busyLimitFactor = 0.7
	limitStep       = 0.05
	// queueingRatio is the ratio of an endpoint's serviceTime to its
	// baseServiceTime above which it counts as queueing statements.
	queueingRatio = 2
	// baseServiceTimeGrowthDivisor lets baseServiceTime grow by
	// 1/baseServiceTimeGrowthDivisor with each executed statement, so that it
	// follows statements that have become slower in themselves.
	baseServiceTimeGrowthDivisor = 2000
	// failureBackoff is how long an endpoint is neither used nor probed after
	// a failure. It doubles with each further failure, up to
	// maxFailureBackoff.
	failureBackoff    = 50 * time.Millisecond
	maxFailureBackoff = time.Second
	// minFailures is how many consecutive failures show that the endpoint, and
	// not just one connection, has failed.
	minFailures = 2
	// idleTimeout is how long a connection may be idle before it is closed.
	// When all proxies lose power, their connections occupy the endpoints'
	// connection limit for another 3 s.
	idleTimeout = time.Second
	// shortIdleTimeout is idleTimeout for an endpoint with fewer connections than there
	// are proxies, of which this proxy keeps none. It covers the pauses in a transaction's
	// sequence of statements.
	shortIdleTimeout = 300 * time.Millisecond
	// stallTimeout is how long a write may be pending before the endpoint gets
	// no further writes. A commit takes a few milliseconds, or a few hundred
	// if all slots are occupied.
	stallTimeout = 300 * time.Millisecond
	// initialOpeningTime is the forecast of how long opening a connection takes, until some
	// were opened.
	initialOpeningTime = 12 * time.Millisecond
	// openingTimeGrowthDivisor lets openingTime grow by 1/openingTimeGrowthDivisor with each
	// opening that takes longer.
	openingTimeGrowthDivisor = 50
)

// endpoint is the state of one endpoint. The table's mutex guards it.
type endpoint struct {
	// listed is the endpoint as the platform last listed it.
	listed topology.Endpoint
	// unlisted is true if the platform's list no longer contains the endpoint.
	unlisted bool
	// idle are the open connections that are not in use, the most recently
	// used last.
	idle []idleConnection
	// open counts the connections that are idle, in use or being opened.
	open int
	// proxy is the name of this proxy.
	proxy string
	// share is how many connections this proxy may hold; at least one.
	share int
	// keepsUnused is true if this proxy may keep a connection open that it does not use.
	keepsUnused bool
	// pooled is true if other proxies pool the endpoint's connections, and run the
	// operations of this one.
	pooled bool
	// limit is how many statements this proxy runs at the endpoint at a time. It
	// falls when the endpoint is busy and grows up to share. At least one; the
	// fraction is not used.
	limit float64
	// running counts the statements of this proxy that the endpoint runs.
	running int
	// serviceTime is the smoothed service time of a statement, and
	// baseServiceTime its recent minimum. The endpoint queues statements when
	// serviceTime is far above baseServiceTime.
	serviceTime     time.Duration
	baseServiceTime time.Duration
	// applied is the latest position that reads there are known to cover.
	applied position.Position
	// lacked is a position that the endpoint lacked; it applies until
	// lackedUntil.
	lacked      position.Position
	lackedUntil time.Time
	// lackCount counts the answers that say that the endpoint lacks a position,
	// since a statement last ran there.
	lackCount int
	// failures counts the failures since the last answer.
	failures int
	// retryAt is when the endpoint may be used or probed again after a
	// failure.
	retryAt time.Time
	// pace tells when the next connection may be opened.
	pace opening.Pace
	// openers is the number of proxies that open connections to the endpoint; see
	// pooling.Poolers.Openers.
	openers float64
	// openingTime is the recent minimum of how long opening a connection took.
	openingTime time.Duration
	// attempts counts the attempts to open a connection.
	attempts int
	// lastAnswer is when the endpoint last answered; zero for never.
	lastAnswer time.Time
	// pendingWrites holds the send times of writes that have no answer yet.
	pendingWrites []time.Time
	// lastAnsweredWrite is the send time of the latest write that was answered.
	lastAnsweredWrite time.Time
	// unansweredSince is the send time of the first write after
	// lastAnsweredWrite that ended without an answer; zero if there is none.
	unansweredSince time.Time
	// refused is true if the last failure proves that the endpoint's process
	// is down, and reset if it was the reset of an open connection.
	refused, reset bool
}

// snapshot returns what placement sees of the endpoint for a statement of a team.
func (e *endpoint) snapshot(now time.Time, dataCentre, team string) placement.EndpointSnapshot {
	stalled, connected := e.stalled(now), e.idleIndex(team) >= 0
	running := e.occupied(stalled)
	s := placement.EndpointSnapshot{
		ID:          e.listed.ID,
		Usable:      !e.unlisted && !e.listed.Leaving && e.usable(now),
		Local:       e.listed.DataCentre == dataCentre,
		Available:   running < int(e.limit) && (connected || e.mayConnect(now)),
		Connected:   connected,
		Slots:       max(e.listed.Slots, 1),
		Running:     running,
		ServiceTime: e.serviceTime,
		Stalled:     stalled && len(e.pendingWrites) > 0,
	}
	if now.Before(e.lackedUntil) && !e.applied.Covers(e.lacked) {
		s.Lacked = e.lacked
	}
	return s
}

// shortage returns what a statement of a team lacks at the endpoint.
func (e *endpoint) shortage(now time.Time, team string) Shortage {
	switch s := e.snapshot(now, "", team); {
	case s.Available && s.Usable:
		return NoShortage
	case !s.Usable:
		return EndpointUnusable
	case s.Running >= int(e.limit):
		return StatementsLimited
	case e.open >= e.share:
		return ConnectionInUse
	default:
		return ConnectionNotOpened
	}
}

// usable reports whether statements may be sent to the endpoint. After one
// failure a single statement is tried at a time; after minFailures the
// endpoint has to answer a probe first.
func (e *endpoint) usable(now time.Time) bool {
	if e.failures == 0 {
		return true
	}
	return e.failures < minFailures && e.running == 0 && !now.Before(e.retryAt)
}

// occupied returns how many statements of this proxy occupy a slot of the endpoint, which may be
// stalled.
func (e *endpoint) occupied(stalled bool) int {
	if stalled {
		// Writes that wait for a replica occupy no slot.
		return e.running - len(e.pendingWrites)
	}
	return e.running
}

// mayConnect reports whether a connection may be opened now, in place of an idle one of
// another team if this proxy has its whole share.
func (e *endpoint) mayConnect(now time.Time) bool {
	return e.mayConnectFrom(e.pace.Next(), now)
}

// mayConnectUrgently is mayConnect for a request that may not wait for its turn.
func (e *endpoint) mayConnectUrgently(now time.Time) bool {
	return e.mayConnectFrom(e.pace.PausedUntil(), now)
}

// mayConnectFrom is mayConnect for a use that may open a connection from a time on.
func (e *endpoint) mayConnectFrom(begin, now time.Time) bool {
	return !now.Before(begin) && (e.open < e.share || len(e.idle) > 0)
}

// connectionWait returns how long it takes at least until a connection is free or may be opened.
func (e *endpoint) connectionWait(now time.Time) time.Duration {
	if e.open > 0 {
		return 0 // a statement may give one back at any time
	}
	return max(e.pace.Next().Sub(now), 0)
}

// beginOpening counts a connection as open that the caller has to open.
func (e *endpoint) beginOpening(now time.Time) {
	e.open++
	e.attempts++
	e.pace = e.pace.WithAttempt(now, e.spread())
}

// spread returns a number from 0 to 1 that differs between proxies, endpoints and attempts.
func (e *endpoint) spread() float64 {
	const steps = 1 << 16
	return float64(sharing.Hash(e.proxy, e.listed.ID+"\x00"+strconv.Itoa(e.attempts))%steps) / steps
}

// recordOpened adds the time that opening a connection took.
func (e *endpoint) recordOpened(took time.Duration) {
	e.openingTime = min(e.openingTime+e.openingTime/openingTimeGrowthDivisor, max(took, time.Microsecond))
	e.pace = e.pace.WithOpened()
	e.limitOpenings()
}

// limitOpenings sets how often connections may be opened.
func (e *endpoint) limitOpenings() {
	e.pace = e.pace.WithLimit(opening.NewLimit(e.listed.Slots, e.openers, e.openingTime))
}

// idleIndex returns the index of the team's idle connection that was used last, or -1 if
// there is none.
func (e *endpoint) idleIndex(team string) int {
	for i := len(e.idle) - 1; i >= 0; i-- {
		if e.idle[i].connection.Team() == team {
			return i
		}
	}
	return -1
}

// takeConnection returns the team's idle connection that was used last. If there is none it
// returns nil and counts a new one as open; it closes the connection that has been idle
// longest if this proxy has its whole share.
func (e *endpoint) takeConnection(now time.Time, team string) eelgrassladder.Connection {
	if i := e.idleIndex(team); i >= 0 {
		return e.takeIdle(i)
	}
	if e.open >= e.share && len(e.idle) > 0 {
		e.takeIdle(0).Close()
		e.open--
	}
	e.beginOpening(now)
	return nil
}

// takeAnyConnection is takeConnection for a use that belongs to no team.
func (e *endpoint) takeAnyConnection(now time.Time) eelgrassladder.Connection {
	if len(e.idle) > 0 {
		return e.takeIdle(len(e.idle) - 1)
	}
	e.beginOpening(now)
	return nil
}

// takeIdle removes an idle connection and returns it.
func (e *endpoint) takeIdle(index int) eelgrassladder.Connection {
	c := e.idle[index].connection
	e.idle = slices.Delete(e.idle, index, index+1)
	return c
}

// idleConnection is an open connection that is not in use.
type idleConnection struct {
	connection eelgrassladder.Connection
	// since is when the connection was last used.
	since time.Time
}

func (e *endpoint) recordAnswer(now time.Time) {
	e.lastAnswer = now
	e.failures = 0
	e.refused, e.reset = false, false
	e.retryAt = time.Time{}
}

func (e *endpoint) recordFailure(now time.Time, o Outcome) {
	e.failures++
	e.refused, e.reset = o.Refused, o.Reset
	wait := failureBackoff << min(e.failures-1, 5)
	e.retryAt = now.Add(min(wait, maxFailureBackoff))
}

// oldestPendingWrite returns the earliest send time of the writes that are
// still pending and were sent after the last answered write; zero if there is
// none.
func (e *endpoint) oldestPendingWrite() time.Time {
	var oldest time.Time
	for _, sent := range e.pendingWrites {
		if sent.After(e.lastAnsweredWrite) && (oldest.IsZero() || sent.Before(oldest)) {
			oldest = sent
		}
	}
	return oldest
}

// stalled reports whether the endpoint acknowledges no writes: a write ended
// without an answer, or has been pending for stallTimeout, and no later one was
// answered.
func (e *endpoint) stalled(now time.Time) bool {
	if !e.unansweredSince.IsZero() {
		return true
	}
	oldest := e.oldestPendingWrite()
	return !oldest.IsZero() && now.Sub(oldest) > stallTimeout
}

// recordWriteEnd records that the write sent at the given time has ended, with
// or without an answer.
func (e *endpoint) recordWriteEnd(sent time.Time, answered bool) {
	switch {
	case answered && sent.After(e.lastAnsweredWrite):
		e.lastAnsweredWrite = sent
		if !e.unansweredSince.After(sent) {
			e.unansweredSince = time.Time{}
		}
	case !answered && sent.After(e.lastAnsweredWrite) && e.unansweredSince.IsZero():
		e.unansweredSince = sent
	}
	if i := slices.Index(e.pendingWrites, sent); i >= 0 {
		e.pendingWrites = slices.Delete(e.pendingWrites, i, i+1)
	}
}

// lowerLimit lowers the limit because the endpoint refused a statement as busy.
func (e *endpoint) lowerLimit() { e.limit = max(e.limit*busyLimitFactor, 1) }

// recordServiceTime adds a measured service time to the forecast, and adjusts
// the limit.
func (e *endpoint) recordServiceTime(took time.Duration) {
	e.serviceTime += time.Duration(serviceTimeWeight * float64(took-e.serviceTime))
	e.baseServiceTime = min(e.baseServiceTime+e.baseServiceTime/baseServiceTimeGrowthDivisor, e.serviceTime)
	if e.serviceTime > queueingRatio*e.baseServiceTime {
		e.limit = max(e.limit-limitStep, 1)
		return
	}
	e.limit = min(e.limit+limitStep, float64(e.share))
}
