package quota

import (
	"math"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// Bucket holds the tokens of one team at one proxy. It is immutable. Times are times since
// boot.
type Bucket struct {
	share  Share
	tokens float64
	// at is the time at which the bucket held the tokens. It lies in the future until the
	// bucket produces.
	at time.Duration

	// recent and earlier count the tokens that were taken, and not returned, since the time
	// counted, and in the period before it. Together they cover at least the last
	// eelgrassladder.QuotaValidity.
	recent, earlier int
	counted         time.Duration
}

// NewBucket returns an empty bucket that produces tokens from a time on.
func NewBucket(from time.Duration) Bucket { return Bucket{at: from, counted: from} }

// WithShare returns the bucket with another share. If the capacity is lower, the bucket loses
// the tokens that exceed it.
func (b Bucket) WithShare(s Share, now time.Duration) Bucket {
	b = b.advanced(now)
	b.share = s
	return b.advanced(now)
}

// WithStart returns the bucket, which produces nothing before a time.
func (b Bucket) WithStart(from time.Duration) Bucket {
	b.at = max(b.at, from)
	return b
}

// WithTaken returns the bucket without up to n whole tokens, and how many it had of them. It
// leaves a reserve in the bucket.
func (b Bucket) WithTaken(n, reserve int, now time.Duration) (Bucket, int) {
	b = b.advanced(now)
	n = max(min(n, int(b.tokens)-reserve), 0)
	b.tokens -= float64(n)
	b.recent += n
	return b, n
}

// WithAsked returns the bucket after this proxy has asked another for n tokens, of which some
// may be returned to this bucket later.
func (b Bucket) WithAsked(n int, now time.Duration) Bucket {
	b = b.advanced(now)
	b.recent += n
	return b
}

// WithUngranted returns the bucket after n tokens that this proxy had asked for were not given,
// or were lost.
func (b Bucket) WithUngranted(n int, now time.Duration) Bucket {
	return b.advanced(now).uncounted(n)
}

// WithReturned returns the bucket with n tokens returned to it that were taken, or asked for,
// at a time, and how many it has accepted. It needs room for all tokens that are counted, and not
// only for these n: else a team could take tokens and let the bucket fill again, and then use up
// both the bucket and the tokens that it gives back.
func (b Bucket) WithReturned(n int, taken, now time.Duration) (Bucket, int) {
	b = b.advanced(now)
	if now-taken >= eelgrassladder.QuotaValidity {
		return b, 0
	}
	excess := b.tokens + float64(b.recent+b.earlier) - b.share.Capacity
	accepted := max(n-int(math.Ceil(math.Max(excess, 0))), 0)
	b.tokens += float64(accepted)
	return b.uncounted(n), accepted
}

// uncounted returns the bucket with n fewer of the counted tokens. Those of the earlier period
// go first, so that what is left stays counted for long enough.
func (b Bucket) uncounted(n int) Bucket {
	n = min(n, b.recent+b.earlier)
	fromEarlier := min(n, b.earlier)
	b.earlier -= fromEarlier
	b.recent -= n - fromEarlier
	return b
}

// Tokens returns how many tokens the bucket holds.
func (b Bucket) Tokens(now time.Duration) float64 { return b.advanced(now).tokens }

// advanced returns the bucket with what it has produced until now.
func (b Bucket) advanced(now time.Duration) Bucket {
	if now > b.at {
		b.tokens += b.share.Rate * (now - b.at).Seconds()
		b.at = now
	}
	b.tokens = math.Min(b.tokens, b.share.Capacity)
	if passed := now - b.counted; passed >= eelgrassladder.QuotaValidity {
		b.recent, b.earlier = 0, b.recent
		if passed >= 2*eelgrassladder.QuotaValidity {
			b.earlier = 0
		}
		b.counted = now
	}
	return b
}
