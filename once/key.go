package once

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ClockSkew bounds how far the clocks of callers and ingresses lie apart.
const ClockSkew = 30 * time.Second

// KeyBorn returns the earliest time at which a key that is seen now can have
// been made: the time in a UUIDv7, else now less the lifetime that the service
// promises its callers; both less the skew of clocks.
func KeyBorn(now time.Time, key string, lifetime time.Duration) time.Time {
	made, ok := uuidTime(key)
	if !ok || made.After(now.Add(ClockSkew)) {
		made = now.Add(-lifetime)
	}
	return made.Add(-ClockSkew)
}

// uuidTime returns the time in a UUIDv7 (RFC 9562, section 5.7).
func uuidTime(key string) (time.Time, bool) {
	const length = 36
	if len(key) != length || key[14] != '7' {
		return time.Time{}, false
	}
	plain := strings.ReplaceAll(key, "-", "")
	raw, err := hex.DecodeString(plain)
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range raw[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// Fingerprint returns a checksum by which the same request is known again.
func Fingerprint(method, target string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(target)
	_, _ = d.WriteString("\n")
	_, _ = d.Write(body)
	sum := d.Sum64()
	if sum == 0 {
		return 1
	}
	return sum
}

func hash(s string) uint64 {
	return xxhash.Sum64String(s)
}

// mix spreads the bits of x (the finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
