package ratelimit

import (
	"math"
	"time"
)

// Bucket is a token bucket: it fills by the rate, up to the burst.
type Bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
}

// leastBurst lets single requests through where a limit has a rate and no burst.
const leastBurst = 1

// NewBucket returns a bucket with a share of its burst in it, one token at least.
func NewBucket(now time.Time, rate, burst, share float64) *Bucket {
	b := &Bucket{at: now}
	b.Set(now, rate, burst)
	b.level = max(share*b.burst, leastBurst)
	return b
}

// Set changes rate and burst. Tokens beyond the new burst are lost.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, max(burst, leastBurst)
	b.level = min(b.level, b.burst)
}

// fill adds what came since the last look. A clock that went back adds nothing.
func (b *Bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.level+b.rate*passed.Seconds(), b.burst)
		b.at = now
	}
}

// Lose leaves one token in the bucket, if there are more.
func (b *Bucket) Lose(now time.Time) {
	b.fill(now)
	b.level = min(b.level, leastBurst)
}

// Level returns how many tokens are in the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// Take takes a number of tokens, if they are there.
func (b *Bucket) Take(now time.Time, tokens float64) bool {
	b.fill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// Next returns how long it takes until the bucket has a token.
func (b *Bucket) Next(now time.Time) time.Duration {
	b.fill(now)
	missing := 1 - b.level
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}
