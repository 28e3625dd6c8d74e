package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
)

const (
	// spreadGather is how long news wait for others: one end concerns all requests of a server.
	spreadGather = 2 * time.Millisecond
	// spreadTime bounds one attempt to tell a process, spreadPause is the time from one that
	// failed to the next: a connection that has gone silent is ended meanwhile.
	spreadTime  = 500 * time.Millisecond
	spreadPause = 300 * time.Millisecond
	// spreadAttempts is how often one process is told at most. Whoever does not answer hears of
	// it with the news that it asks for.
	spreadAttempts = 3
	// mostUnspread bounds the news that wait to be told.
	mostUnspread = 256
	// spreadAge bounds the time from the end of a server to when all processes of its service that
	// run and can be reached know of it. The probe of the server that ended is part of it.
	spreadAge = crash.ProbeTime + spreadGather + spreadAttempts*spreadTime + (spreadAttempts-1)*spreadPause
)

// spreader tells the processes beside the other servers of the service what happened to the
// server beside this one: they are those who would give their servers the same request next.
type spreader struct {
	node *Node
	news chan []quarantine.Record
	// heard is the hash of what the process that was asked last knows.
	heard atomic.Uint64
}

func newSpreader(n *Node) *spreader {
	return &spreader{node: n, news: make(chan []quarantine.Record, mostUnspread)}
}

// spread takes news that are to be told. Where too many wait, they go with other news.
func (s *spreader) spread(records []quarantine.Record) {
	select {
	case s.news <- records:
	default:
	}
}

// start tells news until ctx ends.
func (s *spreader) start(ctx context.Context) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case records := <-s.news:
				time.Sleep(spreadGather)
				s.tell(ctx, append(records, s.waiting()...))
			}
		}
	}()
}

// waiting returns the news that came meanwhile.
func (s *spreader) waiting() (records []quarantine.Record) {
	for {
		select {
		case more := <-s.news:
			records = append(records, more...)
		default:
			return records
		}
	}
}

// tell tells all others of the service, each by itself: one that is silent holds up nobody.
func (s *spreader) tell(ctx context.Context, records []quarantine.Record) {
	local := s.node.settings.GetLocalServer()
	for _, address := range s.node.outbound.Addresses(local.GetService()) {
		if address != local.GetAddress() {
			go s.tellOne(ctx, address, records)
		}
	}
}

// tellOne tells one process, again where that fails.
func (s *spreader) tellOne(ctx context.Context, address string, records []quarantine.Record) {
	peer, err := s.node.peerOf(address)
	for attempt := 1; err == nil; attempt++ {
		tried, cancel := context.WithTimeout(ctx, spreadTime)
		failed := s.node.pool.SendSuspects(tried, peer, records)
		cancel()
		if failed == nil {
			return
		}
		if attempt == spreadAttempts || ctx.Err() != nil {
			err = failed
			break
		}
		time.Sleep(spreadPause)
	}
	s.node.logger.Debug("end of a server not told", "to", address, "cause", err)
}

// listed writes down that a request is refused from now on.
func (n *Node) listed(digest quarantine.Digest, verdict quarantine.Verdict) {
	entry := verdict.Decision(time.Now(), digest)
	entry.Service = n.settings.GetLocalServer().GetService()
	n.history.Add(entry)
}

// tellsSuspects returns what goes with a question to another process: only a hash, as long as
// both know the same.
func (n *Node) tellsSuspects() link.Suspects {
	now := time.Now()
	told := link.Suspects{Sum: n.suspects.Sum(now)}
	if told.Sum != n.spreader.heard.Load() {
		told.Records = n.suspects.Records(now)
	}
	return told
}

// takeSuspects takes what came with an answer.
func (n *Node) takeSuspects(told link.Suspects) {
	n.spreader.heard.Store(told.Sum)
	n.suspects.Merge(time.Now(), told.Records)
}

// exchangeSuspects takes what another process told and returns what that one does not know.
func (n *Node) exchangeSuspects(told link.Suspects) link.Suspects {
	now := time.Now()
	n.suspects.Merge(now, told.Records)
	own := link.Suspects{Sum: n.suspects.Sum(now)}
	if own.Sum != told.Sum {
		own.Records = n.suspects.Records(now)
	}
	return own
}
