package correlation

import "time"

const (
	// trustedAnswers and trustedTime are how many answers, and for how long, an endpoint has
	// to send before it counts as one that sends each answer once.
	trustedAnswers = 256
	trustedTime    = 2 * time.Second
	// distrustTime is how long an endpoint that has sent an answer twice is not trusted.
	distrustTime = 10 * time.Minute
)

// Conduct is how an endpoint has answered on all connections of this proxy. It is immutable.
type Conduct struct {
	// Answers is the number of its answers, and Since when they began to be counted.
	Answers int64
	Since   time.Time
	// RepeatedAt is when it last sent an answer twice; zero for never.
	RepeatedAt time.Time
}

// Trusted reports whether the endpoint is taken to send each answer once.
func (c Conduct) Trusted(now time.Time) bool {
	if !c.RepeatedAt.IsZero() && now.Sub(c.RepeatedAt) < distrustTime {
		return false
	}
	return c.Answers >= trustedAnswers && now.Sub(c.Since) >= trustedTime
}
