package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("discovery")

const (
	// freshAge is how old a peer's answer may be before the store is asked: as old
	// as a reader's view becomes from one call to the end of the next.
	freshAge = storePace + 2*storeTime
	// askTimeout bounds a question to a peer. In a data centre an answer takes
	// a millisecond, from a busy process some tens.
	askTimeout = 200 * time.Millisecond
	// failedTime is how long a peer that did not answer is passed over.
	failedTime = 3 * time.Second
	// pingTimeout is how long a process waits that checks whether it could reach the
	// store itself. cutPingEvery is how often it checks while it could not, and
	// awayPingEvery that where its reader cannot either: then the store is away for all,
	// and that it is back is heard from the reader. Calls that fail are paid for in full.
	pingTimeout   = 700 * time.Millisecond
	cutPingEvery  = 500 * time.Millisecond
	awayPingEvery = 2 * time.Second
	// directPause is the time from a direct call that failed or took wellTime or
	// longer to the next of a process that need not be a reader; it doubles up to
	// maxDirectPause. While the store is away or slow its readers try for all.
	wellTime       = 2 * storeTime
	directPause    = time.Second
	maxDirectPause = 4 * time.Second
)

// Peers asks other processes what they know.
type Peers interface {
	// Since asks the process beside the server at an address which servers changed
	// after a revision of the store; version is that of the settings known here.
	Since(ctx context.Context, address string, after slatewind.Revision, version uint64) (slatewind.ServerUpdate, error)
	// Exchange has another reader know what this one was told of sick servers, and this
	// one what the other was told. It may fail: the next one is soon.
	Exchange(ctx context.Context, address string)
}

// Store is the platform's store itself.
type Store interface {
	slatewind.ServerSource
	// Ping asks, at a small price, whether the store can be reached.
	Ping(ctx context.Context) error
}

// Share is a publisher that spares the store: few processes read it, the others ask
// them, if they can in their own data centre. Who reads follows from the list of
// servers, so that no messages are needed to agree: of each data centre the first by
// the hash of their addresses that answer, as many as the fleet needs. Where the
// readers' answer is old, a process asks the store itself.
// A Share serves one watcher and is not safe for use by several goroutines.
type Share struct {
	// reads says that this process reads the store for its data centre.
	reads atomic.Bool

	store Store
	peers Peers
	// clock counts the time too in which the VM was suspended.
	clock timer.Clock
	// self is the address of the server beside this process. Processes are known
	// by their servers' addresses here.
	self       string
	dataCentre string
	// places returns where the servers are that are known, electorate their ranks.
	places     func() []Place
	electorate func() *electorate
	// startles reports whether a publication takes away servers that did not say before
	// that they leave: their entries may be missing since the store was away.
	startles func(slatewind.ServerUpdate) bool
	// feed keeps the settings, of which peers tell and are told the version.
	feed *Feed
	// seeds are asked where no server is known yet.
	seeds atomic.Pointer[[]string]

	// failed holds until when a peer that did not answer is passed over.
	failed map[string]time.Time
	// directAfter is before when the store is not asked for changes unless this
	// process is a reader; pause is the last pause.
	directAfter time.Time
	pause       time.Duration
	// cut says that the store could not be reached at lastContact.
	cut         bool
	lastContact time.Time
	// away says that the reader which was asked last could not reach it either.
	away bool
	// draw returns a number from 0 up to n, by which one of n processes is chosen.
	draw func(n int) int
}

// NewShare returns a publisher for the process beside the server at self. Follow
// must be called before its use.
func NewShare(store Store, peers Peers, self string, seeds []string) *Share {
	s := &Share{store: store, peers: peers, self: self, failed: map[string]time.Time{}, draw: rand.IntN}
	s.SetSeeds(seeds)
	return s
}

// Follow names the watcher whose servers are the peers, and the feed of settings.
func (s *Share) Follow(w *Watcher, feed *Feed, dataCentre string) {
	s.dataCentre = dataCentre
	s.places, s.electorate = w.Places, w.ranks
	s.startles = w.Startles
	s.feed = feed
}

// Read implements slatewind.ServerSource. A process that begins reads the store,
// so that it starts with the newest; where the store is away, it asks others.
func (s *Share) Read(ctx context.Context) (slatewind.ServerUpdate, error) {
	began := s.clock.Now()
	p, err := s.store.Read(ctx)
	p.Age = s.clock.Since(began)
	if err == nil {
		return p, nil
	}
	if p, ok := s.askAnybody(ctx, slatewind.Revision{}); ok {
		return p, nil
	}
	return p, err
}

// Changes implements slatewind.ServerSource.
func (s *Share) Changes(ctx context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	elected := s.elected(time.Now())
	readers := s.near(elected)
	if s.reading(slices.Contains(readers, s.self) || len(readers) == 0) {
		s.exchange(ctx, elected)
		return s.direct(ctx, after)
	}
	reader := readers[s.draw(len(readers))]
	p, answered, fresh := s.follow(ctx, reader, after)
	switch {
	case fresh, answered && (s.cut || time.Now().Before(s.directAfter)):
		return p, nil
	case s.cut:
		return slatewind.ServerUpdate{}, Error.New("neither the store nor the process beside %s answers", reader)
	}
	p, err := s.direct(ctx, after)
	if err == nil && !p.Relayed {
		// The store is well and the reader's news are old: another one reads.
		s.failed[reader] = time.Now().Add(failedTime)
		s.feed.Look()
	}
	return p, err
}

// follow asks a reader. It reports whether that one answered, and whether its news are
// as good as the store's own.
func (s *Share) follow(ctx context.Context, reader string, after slatewind.Revision) (p slatewind.ServerUpdate, answered, fresh bool) {
	pinged := s.pingWhileCut(ctx, time.Now())
	p, answered = s.ask(ctx, reader, after)
	s.endPing(pinged)
	s.away = answered && p.PlatformUnreachable
	// What a reader without the store tells may be new, since it asks others in turn;
	// but then its settings may be older than its news of servers.
	fresh = answered && !p.PlatformUnreachable && p.Age <= freshAge
	if fresh && !s.cut && s.startles(p) {
		s.endPing(s.ping(ctx))
	}
	p.PlatformUnreachable = s.cut
	return p, answered, fresh
}

// reading notes whether this process reads for its data centre, and returns it.
func (s *Share) reading(reads bool) bool {
	if s.reads.Swap(reads) != reads {
		s.feed.Wake()
	}
	return reads
}

// pingWhileCut finds out now and then whether a process that could not reach the
// store can again, beside a question to a peer. The channel is nil where nothing is due.
func (s *Share) pingWhileCut(ctx context.Context, now time.Time) <-chan error {
	every := cutPingEvery
	if s.away {
		every = awayPingEvery
	}
	if !s.cut || now.Sub(s.lastContact) < every {
		return nil
	}
	return s.ping(ctx)
}

// ping asks whether this process can reach the store. The channel brings the result.
func (s *Share) ping(ctx context.Context) <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		result <- s.store.Ping(ctx)
	}()
	return result
}

// endPing waits for the result of a ping, if one is due.
func (s *Share) endPing(result <-chan error) {
	if result != nil {
		s.heard(<-result)
	}
}

// heard notes whether the store answered.
func (s *Share) heard(err error) {
	before := s.cut
	s.lastContact = time.Now()
	s.cut = err != nil && !errors.Is(err, slatewind.ErrHistoryGone)
	if before && !s.cut {
		s.feed.Restart()
	}
}

// direct asks the store. Where that fails, a peer may know more.
func (s *Share) direct(ctx context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	began := s.clock.Now()
	p, err := s.store.Changes(ctx, after)
	s.heard(err)
	p.Age = s.clock.Since(began)
	s.pauseAfter(!s.cut && p.Age < wellTime)
	if err == nil {
		return p, nil
	}
	if other, ok := s.askAnybody(ctx, after); ok && other.Revision.After(after) {
		return other, nil
	}
	return p, err
}

// pauseAfter notes how soon a process that is no reader may ask the store again
// after a call that went well or not. There is no pause after one that did: the
// store can bear it, and the view must not grow old.
func (s *Share) pauseAfter(well bool) {
	if well {
		s.pause, s.directAfter = 0, time.Time{}
		return
	}
	s.pause = min(max(2*s.pause, directPause), maxDirectPause)
	s.directAfter = time.Now().Add(s.pause)
}

// elected returns the processes that read the store.
func (s *Share) elected(now time.Time) []Place {
	return s.electorate().readers(func(address string) bool { return now.Before(s.failed[address]) })
}

// near returns the readers that this process asks: those of its own data centre, or else
// all.
func (s *Share) near(elected []Place) []string {
	if near := addresses(elected, s.dataCentre); len(near) > 0 {
		return near
	}
	return addresses(elected, "")
}

// exchange asks another reader for what it was told of sick servers, beside the call to
// the store.
func (s *Share) exchange(ctx context.Context, elected []Place) {
	others := slices.DeleteFunc(addresses(elected, ""), s.isSelf)
	if len(others) == 0 {
		return
	}
	other := others[rand.IntN(len(others))]
	go func() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		s.peers.Exchange(ctx, other)
	}()
}

// addresses returns those of the places in a data centre, or everywhere where it is
// empty.
func addresses(places []Place, dataCentre string) []string {
	var list []string
	for _, place := range places {
		if dataCentre == "" || place.DataCentre == dataCentre {
			list = append(list, place.Address)
		}
	}
	return list
}

// ask asks one process; ok says that it answered and knows something.
func (s *Share) ask(ctx context.Context, address string, after slatewind.Revision) (p slatewind.ServerUpdate, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	began := s.clock.Now()
	p, err := s.peers.Since(ctx, address, after, s.feed.Version())
	if err != nil || p.Revision.IsZero() {
		s.failed[address] = time.Now().Add(failedTime)
		return p, false
	}
	s.feed.Heard(p.Version, address)
	p.Relayed, p.From = true, address
	// The peer may have been paused after it told its news' age.
	p.Age += s.clock.Since(began)
	return p, true
}

// askAnybody asks a random process.
func (s *Share) askAnybody(ctx context.Context, after slatewind.Revision) (p slatewind.ServerUpdate, ok bool) {
	others := s.without(addresses(s.places(), ""))
	if len(others) == 0 {
		return p, false
	}
	p, ok = s.ask(ctx, others[s.draw(len(others))], after)
	p.PlatformUnreachable = s.cut
	return p, ok
}

// others returns the addresses of the other processes near by, or else of all that
// are known.
func (s *Share) others() []string {
	places := s.places()
	if near := slices.DeleteFunc(addresses(places, s.dataCentre), s.isSelf); len(near) > 0 {
		return near
	}
	return s.without(addresses(places, ""))
}

// without leaves this process out of all that are known; the seeds are all while
// none are.
func (s *Share) without(all []string) []string {
	if others := slices.DeleteFunc(all, s.isSelf); len(others) > 0 {
		return others
	}
	return *s.seeds.Load()
}

// SetSeeds changes whom to ask where no server is known. It may be called at any time.
func (s *Share) SetSeeds(seeds []string) { s.seeds.Store(&seeds) }

func (s *Share) isSelf(address string) bool { return address == s.self }

// Reads reports whether this process reads the store for its data centre.
func (s *Share) Reads() bool {
	return s.reads.Load()
}
