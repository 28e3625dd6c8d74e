package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/recovery"
)

const (
	// publishBatchDelay is how long records are held back to be sent together: the crash of a
	// server concerns all requests that it was running.
	publishBatchDelay = 2 * time.Millisecond
	// publishTimeout bounds one attempt to send records to a process, publishRetryDelay is the
	// time from a failed attempt to the next. Within it, a connection that no longer delivers
	// anything is closed, so that the next attempt opens a new one.
	publishTimeout    = 500 * time.Millisecond
	publishRetryDelay = 300 * time.Millisecond
	// publishAttempts bounds the attempts for one process. A process that none of them reaches
	// gets the records with the next update that it polls for.
	publishAttempts = 3
	// publishQueueSize bounds the batches of records that wait to be sent.
	publishQueueSize = 256
	// maxPublishDelay bounds the time from the end of a server until all processes of its service
	// that run and can be reached know of it. The probe of the server that ended is part of it.
	maxPublishDelay = crash.ProbeTime + publishBatchDelay + publishAttempts*publishTimeout + (publishAttempts-1)*publishRetryDelay
)

// recordPublisher sends the quarantine records of the local server to the processes beside the
// other servers of its service, since those would send the same request to their servers next.
type recordPublisher struct {
	node  *Node
	queue chan []quarantine.Record
	// peerSum is the hash of all records of the process that was polled last.
	peerSum atomic.Uint64
}

func newRecordPublisher(n *Node) *recordPublisher {
	return &recordPublisher{node: n, queue: make(chan []quarantine.Record, publishQueueSize)}
}

// enqueue queues records for publication. If the queue is full they are dropped here and reach
// the other processes with later updates.
func (p *recordPublisher) enqueue(records []quarantine.Record) {
	select {
	case p.queue <- records:
	default:
	}
}

// start publishes queued records until ctx ends.
func (p *recordPublisher) start(ctx context.Context) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case records := <-p.queue:
				time.Sleep(publishBatchDelay)
				_ = recovery.Run("publish records", func() { p.publish(ctx, append(records, p.queued()...)) })
			}
		}
	}()
}

// queued takes all records from the queue without waiting.
func (p *recordPublisher) queued() (records []quarantine.Record) {
	for {
		select {
		case more := <-p.queue:
			records = append(records, more...)
		default:
			return records
		}
	}
}

// publish sends records to all other processes of the service, to each in a goroutine of its own
// so that one that does not answer delays no other.
func (p *recordPublisher) publish(ctx context.Context, records []quarantine.Record) {
	local := p.node.settings.GetLocalServer()
	for _, address := range p.node.outbound.Addresses(local.GetService()) {
		if address != local.GetAddress() {
			go func() { _ = recovery.Run("send records", func() { p.publishTo(ctx, address, records) }) }()
		}
	}
}

// publishTo sends records to one process, with retries.
func (p *recordPublisher) publishTo(ctx context.Context, address string, records []quarantine.Record) {
	peer, err := p.node.peerAddressOf(address)
	for attempt := 1; err == nil; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, publishTimeout)
		attemptErr := p.node.pool.SendSuspects(attemptCtx, peer, records)
		cancel()
		if attemptErr == nil {
			return
		}
		if attempt == publishAttempts || ctx.Err() != nil {
			err = attemptErr
			break
		}
		time.Sleep(publishRetryDelay)
	}
	p.node.logger.Debug("quarantine records not delivered", "to", address, "cause", err)
}

// recordQuarantine adds to the journal that a request is refused from now on.
func (n *Node) recordQuarantine(digest quarantine.Digest, verdict quarantine.Verdict) {
	entry := verdict.Decision(time.Now(), digest)
	entry.Service = n.settings.GetLocalServer().GetService()
	n.history.Add(entry)
}

// suspectsToSend returns what is sent with a poll of another process: only the hash while the
// hashes of both processes are the same, otherwise the records too.
func (n *Node) suspectsToSend() link.Suspects {
	now := time.Now()
	own := link.Suspects{Sum: n.suspects.Sum(now)}
	if own.Sum != n.publisher.peerSum.Load() {
		own.Records = n.suspects.Records(now)
	}
	return own
}

// mergeSuspects adds the records of a reply to those of this process.
func (n *Node) mergeSuspects(received link.Suspects) {
	n.publisher.peerSum.Store(received.Sum)
	n.suspects.Merge(time.Now(), received.Records)
}

// exchangeSuspects adds the records of another process and returns those of this one, unless
// both have the same hash.
func (n *Node) exchangeSuspects(received link.Suspects) link.Suspects {
	now := time.Now()
	n.suspects.Merge(now, received.Records)
	own := link.Suspects{Sum: n.suspects.Sum(now)}
	if own.Sum != received.Sum {
		own.Records = n.suspects.Records(now)
	}
	return own
}
