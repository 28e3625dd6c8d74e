package link

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
)

const (
	// partBytes is the size of the parts in which compressed settings are sent.
	partBytes = 16 << 10
	// firstPartTimeout limits the wait for the first part.
	firstPartTimeout = 400 * time.Millisecond
	// partTimeout limits the wait for each further part. It is longer, since a part may wait
	// for the bytes of other callers.
	partTimeout = time.Second
	// maxTransfers limits the concurrent transfers of settings to callers. On a slow link
	// more of them would all be late, while these few callers soon pass the settings on.
	maxTransfers = 3
	// maxPacked limits the size of compressed settings, maxSettings that of decompressed ones, in bytes.
	maxPacked   = 16 << 20
	maxSettings = 64 << 20
)

// Settings fetches the settings of the process at an IP:port address if they are newer than
// a version. It returns nil if they are not, or if maxTransfers are in progress there. It
// fails if a part does not arrive in time or the settings are corrupt.
func (p *Pool) Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(firstPartTimeout, cancel)
	defer silence.Stop()
	stream, err := slatewindv1.NewNewsClient(conn).Settings(ctx, &slatewindv1.SettingsRequest{Version: version})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var first *slatewindv1.SettingsPart
	var all []byte
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, Error.Wrap(err)
		}
		silence.Reset(partTimeout)
		if first == nil {
			first = part
		}
		if len(all)+len(part.GetPacked()) > maxPacked {
			return nil, ErrCorrupt
		}
		all = append(all, part.GetPacked()...)
	}
	if first == nil {
		return nil, nil
	}
	return unpack(first, all)
}

// unpack verifies the checksum of compressed settings and decodes them.
func unpack(first *slatewindv1.SettingsPart, all []byte) (*slatewind.PublishedSettings, error) {
	if xxhash.Sum64(all) != first.GetChecksum() {
		return nil, ErrCorrupt
	}
	reader, err := gzip.NewReader(bytes.NewReader(all))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxSettings))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	fleet := &slatewindv1.Fleet{}
	if err := proto.Unmarshal(text, fleet); err != nil {
		return nil, Error.Wrap(err)
	}
	return &slatewind.PublishedSettings{Version: first.GetVersion(), Revision: slatewind.Revision{Era: first.GetEra(), Number: first.GetRevision()}, Fleet: fleet}, nil
}

// pack returns the settings as they are sent: an encoded Fleet, compressed by gzip.
func pack(settings *slatewind.PublishedSettings) ([]byte, error) {
	text, err := proto.Marshal(settings.Fleet)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := writer.Write(text); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return packed.Bytes(), nil
}

// packer caches the compressed form of the newest settings, so that each version is
// compressed once and not for each caller.
type packer struct {
	// mu guards version and bytes.
	mu      sync.Mutex
	version uint64
	bytes   []byte
	// transfers is the number of transfers in progress.
	transfers atomic.Int32
}

// pack returns the compressed form of settings.
func (p *packer) pack(settings *slatewind.PublishedSettings) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == settings.Version {
		return p.bytes, nil
	}
	packed, err := pack(settings)
	if err != nil {
		return nil, err
	}
	p.version, p.bytes = settings.Version, packed
	return packed, nil
}

// Settings implements the generated interface.
func (s *NewsServer) Settings(request *slatewindv1.SettingsRequest, stream grpc.ServerStreamingServer[slatewindv1.SettingsPart]) error {
	settings := s.CurrentSettings()
	if settings == nil || settings.Version <= request.GetVersion() {
		return nil
	}
	defer s.packer.transfers.Add(-1)
	if s.packer.transfers.Add(1) > maxTransfers {
		return nil
	}
	packed, err := s.packer.pack(settings)
	if err != nil {
		return err
	}
	first := &slatewindv1.SettingsPart{Version: settings.Version, Era: settings.Revision.Era, Revision: settings.Revision.Number, Checksum: xxhash.Sum64(packed)}
	for part := range slices.Chunk(packed, partBytes) {
		first.Packed = part
		if err := stream.Send(first); err != nil {
			return err
		}
		first = &slatewindv1.SettingsPart{}
	}
	return nil
}
