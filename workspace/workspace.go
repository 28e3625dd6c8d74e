// Package workspace tells by its key which workspace sends a request.
//
// Keys are secrets. Settings hold their digests only, a request's key is digested as soon as
// it is read, and neither an error nor a decision names one. A directory finds a digest in a
// hash table. How long that takes tells nothing of a key: whoever tries keys cannot choose
// their digests.
package workspace

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind/api/slatewindv1"
)

// Error is the class of errors of this package.
var Error = errs.Class("workspace")

// MaxKeyBytes bounds a key, so that a caller cannot have a long one digested.
const MaxKeyBytes = 256

// Reasons for which a request is refused for its key. None of them holds any of the key.
var (
	// ErrNoKey: the route needs a key and the request has none.
	ErrNoKey = Error.New("the request has no key and its route is not public")
	// ErrManyKeys: it is not clear which key counts.
	ErrManyKeys = Error.New("the request has more than one key")
	// ErrMalformedKey: no workspace can have such a key.
	ErrMalformedKey = Error.New("the key is empty, longer than 256 bytes or not printable ASCII")
	// ErrUnknownKey: no workspace has the key now.
	ErrUnknownKey = Error.New("no workspace has the key")
)

// Digest is the SHA-256 of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal digits, as settings have it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads a digest of 64 hexadecimal digits. The error does not repeat the text,
// which may be a key that was put in the wrong place.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, Error.New("not a digest of 64 hexadecimal digits")
	}
	copy(d[:], raw)
	return d, nil
}

// CheckKey reports whether a text may be a key: printable ASCII without blanks, at most
// MaxKeyBytes long.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return ErrMalformedKey
	}
	if strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return ErrMalformedKey
	}
	return nil
}

// Directory finds workspaces by the digests of their keys and by their names. It never
// changes.
type Directory struct {
	// required says that requests need a key but on public routes.
	required bool
	byKey    map[Digest]*slatewindv1.Workspace
	byName   map[string]*slatewindv1.Workspace
	// largest are the workspaces that metrics name.
	largest map[string]bool
}

// mostLabels bounds the workspaces that metrics name.
const mostLabels = 20

// OtherLabel stands in metrics for all workspaces that they do not name.
const OtherLabel = "other"

// Label returns the name of a workspace in metrics: its own if it is one of those with the
// highest rates.
func (d *Directory) Label(name string) string {
	if d.largest[name] {
		return name
	}
	return OtherLabel
}

// largestOf returns the names of the workspaces with the highest rates.
func largestOf(workspaces []*slatewindv1.Workspace) map[string]bool {
	sorted := slices.SortedStableFunc(slices.Values(workspaces), func(a, b *slatewindv1.Workspace) int {
		return cmp.Compare(b.GetRate(), a.GetRate())
	})
	largest := map[string]bool{}
	for _, w := range sorted[:min(len(sorted), mostLabels)] {
		largest[w.GetName()] = true
	}
	return largest
}

// NewDirectory returns the directory of checked settings.
func NewDirectory(fleet *slatewindv1.Fleet) *Directory {
	d := &Directory{
		required: fleet.GetKeysRequired() || len(fleet.GetWorkspaces()) > 0,
		byKey:    map[Digest]*slatewindv1.Workspace{},
		byName:   map[string]*slatewindv1.Workspace{},
		largest:  largestOf(fleet.GetWorkspaces()),
	}
	for _, w := range fleet.GetWorkspaces() {
		d.byName[w.GetName()] = w
		for _, text := range w.GetKeyDigests() {
			if digest, err := ParseDigest(text); err == nil {
				d.byKey[digest] = w
			}
		}
	}
	return d
}

// Named returns the workspace of a name, or nil.
func (d *Directory) Named(name string) *slatewindv1.Workspace { return d.byName[name] }

// Identify returns the workspace that sends a request with the given values of the key's
// header field. It is nil where none is needed: settings have no workspaces, or the route is
// public and the request has no key that is known.
func (d *Directory) Identify(values []string, public bool) (*slatewindv1.Workspace, error) {
	if !d.required {
		return nil, nil
	}
	w, err := d.find(values)
	if public {
		return w, nil
	}
	return w, err
}

func (d *Directory) find(values []string) (*slatewindv1.Workspace, error) {
	if len(values) == 0 {
		return nil, ErrNoKey
	}
	if len(values) > 1 {
		return nil, ErrManyKeys
	}
	if err := CheckKey(values[0]); err != nil {
		return nil, err
	}
	if w := d.byKey[DigestOf(values[0])]; w != nil {
		return w, nil
	}
	return nil, ErrUnknownKey
}
