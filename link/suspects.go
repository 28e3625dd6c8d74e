package link

import (
	"context"
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/quarantine"
)

// Suspects is what two processes exchange about requests during which servers crashed.
type Suspects struct {
	// Sum is a hash of the records that the sender has for others (quarantine.Table.Sum).
	Sum     uint64
	Records []quarantine.Record
}

// SendSuspects sends new records to the process at an IP:port address.
func (p *Pool) SendSuspects(ctx context.Context, address string, records []quarantine.Record) error {
	request := &slatewindv1.SuspectsNews{Suspects: SuspectsOf(records)}
	_, err := call(ctx, p, address, request, slatewindv1.NewNewsClient, slatewindv1.NewsClient.Suspects)
	return err
}

// Suspects implements the generated interface.
func (s *NewsServer) Suspects(_ context.Context, request *slatewindv1.SuspectsNews) (*slatewindv1.SuspectsReply, error) {
	s.ReceiveSuspects(RecordsOf(request.GetSuspects()))
	return &slatewindv1.SuspectsReply{}, nil
}

// SuspectOf converts a record to its message.
func SuspectOf(record quarantine.Record) *slatewindv1.Suspect {
	suspect := &slatewindv1.Suspect{Digest: record.Digest[:]}
	for _, e := range record.Events {
		suspect.Events = append(suspect.Events, &slatewindv1.SuspectEvent{
			Id: e.ID, Kind: string(e.Kind), AgeMs: uint32(e.Age.Milliseconds()), Void: e.Void,
		})
	}
	return suspect
}

// SuspectsOf converts records to their messages.
func SuspectsOf(records []quarantine.Record) []*slatewindv1.Suspect {
	suspects := make([]*slatewindv1.Suspect, 0, len(records))
	for _, record := range records {
		suspects = append(suspects, SuspectOf(record))
	}
	return suspects
}

// RecordsOf converts messages to records. Messages whose digest has a wrong length are
// left out.
func RecordsOf(suspects []*slatewindv1.Suspect) []quarantine.Record {
	var records []quarantine.Record
	for _, suspect := range suspects {
		var record quarantine.Record
		if len(suspect.GetDigest()) != len(record.Digest) {
			continue
		}
		copy(record.Digest[:], suspect.GetDigest())
		for _, e := range suspect.GetEvents() {
			record.Events = append(record.Events, quarantine.Event{
				ID: e.GetId(), Kind: quarantine.Kind(e.GetKind()), Age: time.Duration(e.GetAgeMs()) * time.Millisecond, Void: e.GetVoid(),
			})
		}
		records = append(records, record)
	}
	return records
}
