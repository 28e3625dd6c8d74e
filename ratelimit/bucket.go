package ratelimit

import (
	"math"
	"time"
)

// Bucket is a token bucket. It is refilled at the rate, in tokens per second, up to the burst.
type Bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
}

// minBurst lets single requests through if a limit has a rate and no burst.
const minBurst = 1

// NewBucket returns a bucket that holds the given share of its burst, and at least one token.
func NewBucket(now time.Time, rate, burst, share float64) *Bucket {
	b := &Bucket{at: now}
	b.Set(now, rate, burst)
	b.level = max(share*b.burst, minBurst)
	return b
}

// Set changes rate and burst. Tokens beyond the new burst are dropped.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, max(burst, minBurst)
	b.level = min(b.level, b.burst)
}

// fill adds the tokens that accrued since the last call. A clock that went back adds none.
func (b *Bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.level+b.rate*passed.Seconds(), b.burst)
		b.at = now
	}
}

// DropToOne leaves one token in the bucket, if there are more.
func (b *Bucket) DropToOne(now time.Time) {
	b.fill(now)
	b.level = min(b.level, minBurst)
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// Take removes a number of tokens and reports whether there were enough.
func (b *Bucket) Take(now time.Time, tokens float64) bool {
	b.fill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// Put returns tokens that were taken and not used.
func (b *Bucket) Put(now time.Time, tokens float64) {
	b.fill(now)
	b.level = min(b.level+tokens, b.burst)
}

// Next returns the time until the bucket has a token.
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
