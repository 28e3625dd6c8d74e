package once

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ClockSkew is the maximum assumed difference between the clocks of callers and
// ingresses.
const ClockSkew = 30 * time.Second

// KeyBorn returns the earliest time at which a key received now can have been
// created: the time in a UUIDv7, otherwise now minus the key lifetime that the
// service promises its callers; in both cases minus ClockSkew. A time in the
// future by more than ClockSkew is ignored.
func KeyBorn(now time.Time, key string, lifetime time.Duration) time.Time {
	created, ok := uuidTime(key)
	if !ok || created.After(now.Add(ClockSkew)) {
		created = now.Add(-lifetime)
	}
	return created.Add(-ClockSkew)
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

// Fingerprint returns a checksum that identifies the request. It is never 0, which
// stands for an unknown fingerprint.
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

// mix is the finaliser of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
