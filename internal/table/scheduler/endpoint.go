package scheduler

import (
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
)

const (
	// serviceGuess is the forecast for an endpoint that has not answered yet.
	serviceGuess = 15 * time.Millisecond
	// serviceWeight is the part of a new measurement in the forecast.
	serviceWeight = 0.1
	// behindTime is how long an endpoint that lacked a position is passed by
	// for reads that need it; it doubles with each further lack, up to
	// maxBehindTime.
	behindTime    = 25 * time.Millisecond
	maxBehindTime = time.Second
	// limitCut and limitStep change the limit of an endpoint after it was
	// busy and after each answer, as congestion control does.
	limitCut  = 0.7
	limitStep = 0.05
	// queuedFactor is how far above its base the time of a statement may be
	// before less is sent to the endpoint.
	queuedFactor = 2
	// baseDrift lets the base rise by this part with each answer, so that it
	// follows work that has become slower in itself.
	baseDrift = 2000
	// failureTime is how long an endpoint is neither used nor asked after a
	// failure, and maxFailureTime after many.
	failureTime    = 50 * time.Millisecond
	maxFailureTime = time.Second
	// provenFailures is how many failures in a row show that it is not just one
	// connection that broke.
	provenFailures = 2
	// spareTime is how long a connection may be unused before it is closed.
	// When all proxies lose power, their connections fill the endpoints' limit
	// for 3 s more.
	spareTime = time.Second
	// stalledTime is how long a write may wait before the endpoint gets no
	// others. A commit takes some milliseconds, and behind full slots some
	// hundred.
	stalledTime = 300 * time.Millisecond
	// overloadTime is how long no connection is opened after the endpoint
	// refused one for having too many.
	overloadTime = 200 * time.Millisecond
)

// endpoint is what the table holds of one endpoint. The table's lock guards
// it.
type endpoint struct {
	// told is the endpoint as the platform last listed it.
	told topology.Endpoint
	// gone is true once the platform no longer lists it.
	gone bool
	// idle are open connections that nobody uses, the latest used last.
	idle []spare
	// open counts connections, idle or not, and those being opened.
	open int
	// share is how many connections this proxy may hold; at least one.
	share int
	// limit is how many statements this proxy sends there at one time; it
	// falls when the endpoint is busy and rises up to share. At least one.
	limit float64
	// running counts statements that are at the endpoint.
	running int
	// service is a smoothed time of a statement, and base its smallest value
	// of late; the endpoint queues when service is far above base.
	service time.Duration
	base    time.Duration
	// applied is the latest position that reads there were seen to cover.
	applied position.Position
	// behind is a position that it lacked until behindUntil.
	behind      position.Position
	behindUntil time.Time
	// lacks counts answers that it lacked a position, since it last had one.
	lacks int
	// failures counts failures since the last answer.
	failures int
	// downUntil is when it is tried again after a failure.
	downUntil time.Time
	// fullUntil is when the next connection may be opened.
	fullUntil time.Time
	// heard is when the endpoint last answered anything; zero for never.
	heard time.Time
	// writes holds when each write without an answer was sent.
	writes []time.Time
	// acknowledged is when the latest answered write was sent.
	acknowledged time.Time
	// lost is when the first write after acknowledged was sent that ended
	// without an answer; zero if there is none.
	lost time.Time
	// refused is true if the last failure proves that the process is down.
	refused bool
}

// place returns what placement may know of the endpoint.
func (e *endpoint) place(now time.Time, dataCentre string) placement.EndpointSnapshot {
	stalled := e.stalled(now)
	running := e.running
	if stalled {
		// Writes that wait for a replica take no slot.
		running -= len(e.writes)
	}
	p := placement.EndpointSnapshot{
		ID:        e.told.ID,
		Usable:    !e.gone && !e.told.Leaving && e.sound(now),
		Local:     e.told.DataCentre == dataCentre,
		Free:      running < int(e.limit) && (len(e.idle) > 0 || (e.open < e.share && !now.Before(e.fullUntil))),
		Connected: len(e.idle) > 0,
		Slots:     max(e.told.Slots, 1),
		Running:   running,
		Service:   e.service,
		Stalled:   stalled && len(e.writes) > 0,
	}
	if now.Before(e.behindUntil) && !e.applied.Covers(e.behind) {
		p.Behind = e.behind
	}
	return p
}

// sound reports whether statements may be sent to the endpoint. After one
// failure a single one is tried; after more, a question has to be answered
// first.
func (e *endpoint) sound(now time.Time) bool {
	if e.failures == 0 {
		return true
	}
	return e.failures < provenFailures && e.running == 0 && !now.Before(e.downUntil)
}

// take returns an idle connection, or nil with room for a new one.
func (e *endpoint) take() eelgrassladder.Connection {
	n := len(e.idle)
	if n == 0 {
		e.open++
		return nil
	}
	c := e.idle[n-1].connection
	e.idle = e.idle[:n-1]
	return c
}

// spare is an open connection that nobody uses.
type spare struct {
	connection eelgrassladder.Connection
	// since is when it was last used.
	since time.Time
}

// answered notes an answer.
func (e *endpoint) answered(now time.Time) {
	e.heard = now
	e.failures = 0
	e.refused = false
	e.downUntil = time.Time{}
}

// failed notes that the endpoint did not answer.
func (e *endpoint) failed(now time.Time, refused bool) {
	e.failures++
	e.refused = refused
	wait := failureTime << min(e.failures-1, 5)
	e.downUntil = now.Add(min(wait, maxFailureTime))
}

// waiting returns when the oldest write was sent that is not answered, of
// those sent after the last one that was; zero if there is none.
func (e *endpoint) waiting() time.Time {
	var oldest time.Time
	for _, sent := range e.writes {
		if sent.After(e.acknowledged) && (oldest.IsZero() || sent.Before(oldest)) {
			oldest = sent
		}
	}
	return oldest
}

// stalled reports whether the endpoint has lately acknowledged no writes.
func (e *endpoint) stalled(now time.Time) bool {
	if !e.lost.IsZero() {
		return true
	}
	oldest := e.waiting()
	return !oldest.IsZero() && now.Sub(oldest) > stalledTime
}

// ended notes that the write that was sent at some time has ended.
func (e *endpoint) ended(sent time.Time, answered bool) {
	switch {
	case answered && sent.After(e.acknowledged):
		e.acknowledged = sent
		if !e.lost.After(sent) {
			e.lost = time.Time{}
		}
	case !answered && sent.After(e.acknowledged) && e.lost.IsZero():
		e.lost = sent
	}
	if i := slices.Index(e.writes, sent); i >= 0 {
		e.writes = slices.Delete(e.writes, i, i+1)
	}
}

// crowded lowers the limit after the endpoint was busy.
func (e *endpoint) crowded() { e.limit = max(e.limit*limitCut, 1) }

// measured puts the time of a statement into the forecast.
func (e *endpoint) measured(took time.Duration) {
	e.service += time.Duration(serviceWeight * float64(took-e.service))
	e.base = min(e.base+e.base/baseDrift, e.service)
	if e.service > queuedFactor*e.base {
		e.limit = max(e.limit-limitStep, 1)
		return
	}
	e.limit = min(e.limit+limitStep, float64(e.share))
}
