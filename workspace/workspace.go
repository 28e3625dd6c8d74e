// Package workspace identifies the workspace that sends a request by its key.
//
// Keys are secrets. Settings hold only their digests, the key of a request is digested as soon as
// it is read, and no error or decision contains one. A Directory looks up digests in a hash table.
// The time of a lookup reveals nothing about a key, since whoever guesses keys cannot choose their
// digests.
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

// MaxKeyBytes is the maximum length of a key, so that callers cannot cause the digesting of long
// ones.
const MaxKeyBytes = 256

// Reasons for refusing a request because of its key. None of them contains any part of the key.
var (
	// ErrNoKey: the route requires a key and the request has none.
	ErrNoKey = Error.New("the request has no key and its route is not public")
	// ErrManyKeys: the request has several keys, so it is unclear which one applies.
	ErrManyKeys = Error.New("the request has more than one key")
	// ErrMalformedKey: the key cannot be that of any workspace.
	ErrMalformedKey = Error.New("the key is empty, longer than 256 bytes or not printable ASCII")
	// ErrUnknownKey: no workspace currently has the key.
	ErrUnknownKey = Error.New("no workspace has the key")
)

// Digest is the SHA-256 of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal, as in the settings.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses a digest of 64 hexadecimal digits. The error does not contain the text, which
// may be a key entered by mistake.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, Error.New("not a digest of 64 hexadecimal digits")
	}
	copy(d[:], raw)
	return d, nil
}

// CheckKey returns an error unless the key is printable ASCII without blanks and at most
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

// Directory finds workspaces by the digests of their keys and by their names. It is immutable.
type Directory struct {
	// required means that requests need a key except on public routes.
	required bool
	byKey    map[Digest]*slatewindv1.Workspace
	byName   map[string]*slatewindv1.Workspace
	// largest holds the workspaces that have their own label in metrics.
	largest map[string]bool
}

// maxLabels limits the number of workspaces with their own label in metrics.
const maxLabels = 20

// OtherLabel is the label in metrics of all other workspaces.
const OtherLabel = "other"

// Label returns the label of a workspace in metrics: its name if it has one of the highest rates,
// or OtherLabel.
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
	for _, w := range sorted[:min(len(sorted), maxLabels)] {
		largest[w.GetName()] = true
	}
	return largest
}

// NewDirectory returns the directory of validated settings. Digests that cannot be parsed are left
// out.
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

// Named returns the workspace with the given name, or nil.
func (d *Directory) Named(name string) *slatewindv1.Workspace { return d.byName[name] }

// Identify returns the workspace of a request, given the values of the header field of the key. It
// is nil if none is needed: the settings neither have workspaces nor require keys, or the route is
// public and the request has no known key. The error is the reason to refuse the request.
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

// find returns the workspace that has the only key among values, or the reason why there is none.
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
