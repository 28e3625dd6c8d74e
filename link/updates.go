package link

import (
	"context"
	"slices"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/quarantine"
)

// Observations is what two processes exchange along with the updates of Since, in both
// directions.
type Observations struct {
	// Reports are the reports about unhealthy servers.
	Reports  []*slatewindv1.ServerReport
	Suspects Suspects
}

// Since gets from the process at an IP:port address the servers that changed after a revision
// of the store. version is that of the caller's settings, evacuations its list. observations holds the caller's reports
// about unhealthy servers and about requests during which servers crashed; those of the
// other process are returned.
func (p *Pool) Since(ctx context.Context, address string, after slatewind.Revision, version uint64, evacuations slatewind.Evacuations, observations Observations) (slatewind.ServerUpdate, Observations, error) {
	request := &slatewindv1.SinceRequest{
		Era: after.Era, Revision: after.Number, Version: version, Reports: observations.Reports, SuspectsSum: observations.Suspects.Sum, Suspects: SuspectsOf(observations.Suspects.Records),
		Evacuations: encodeEvacuations(evacuations),
	}
	reply, err := call(ctx, p, address, request, slatewindv1.NewNewsClient, slatewindv1.NewsClient.Since)
	if err != nil {
		return slatewind.ServerUpdate{}, Observations{}, err
	}
	update := slatewind.ServerUpdate{
		Revision: slatewind.Revision{Era: reply.GetEra(), Number: reply.GetRevision()}, Age: time.Duration(reply.GetAgeNanos()), Complete: reply.GetWhole(), Removed: reply.GetRemoved(),
		Version: reply.GetVersion(), PlatformUnreachable: reply.GetCut(),
		Evacuations: decodeEvacuations(reply.GetEvacuations()),
	}
	for _, s := range reply.GetServers() {
		update.Servers = append(update.Servers, slatewind.ServerEntry{
			Name: s.GetName(), Service: s.GetService(), Address: s.GetAddress(), DataCentre: s.GetDataCentre(), Release: s.GetRelease(),
			Slots: int(s.GetSlots()), Leaving: s.GetLeaving(), Warming: time.Duration(s.GetWarmingNanos()),
			Start: s.GetStartUnixMillis(), Created: s.GetCreated(),
		})
	}
	for _, s := range reply.GetEnded() {
		update.Ended = append(update.Ended, slatewind.ServerStart{Name: s.GetName(), Start: s.GetUnixMillis()})
	}
	return update, Observations{reply.GetReports(), Suspects{reply.GetSuspectsSum(), RecordsOf(reply.GetSuspects())}}, nil
}

// NewsServer implements the RPC service News, which gives other processes what this one knows
// of the platform's store.
type NewsServer struct {
	slatewindv1.UnimplementedNewsServer
	// UpdateSince returns the servers that changed after a revision of the store, for a process
	// that has the given version of the settings and list of evacuated data centres.
	UpdateSince func(after slatewind.Revision, version uint64, evacuations slatewind.Evacuations) slatewind.ServerUpdate
	// Exchange takes the observations of another process and returns those of this one.
	Exchange func(observations Observations) Observations
	// ReceiveSuspects takes records of requests during which servers have just crashed, from
	// another process.
	ReceiveSuspects func(records []quarantine.Record)
	// CurrentSettings returns the newest settings of this process, or nil.
	CurrentSettings func() *slatewind.PublishedSettings

	packer packer
}

// Since implements the generated interface.
func (s *NewsServer) Since(_ context.Context, request *slatewindv1.SinceRequest) (*slatewindv1.SinceReply, error) {
	update := s.UpdateSince(slatewind.Revision{Era: request.GetEra(), Number: request.GetRevision()}, request.GetVersion(), decodeEvacuations(request.GetEvacuations()))
	observations := s.Exchange(Observations{request.GetReports(), Suspects{request.GetSuspectsSum(), RecordsOf(request.GetSuspects())}})
	reply := &slatewindv1.SinceReply{
		Era: update.Revision.Era, Revision: update.Revision.Number, AgeNanos: int64(update.Age), Whole: update.Complete, Removed: update.Removed, Version: update.Version, Cut: update.PlatformUnreachable,
		Reports: observations.Reports, SuspectsSum: observations.Suspects.Sum, Suspects: SuspectsOf(observations.Suspects.Records),
		Evacuations: encodeEvacuations(update.Evacuations),
	}
	for _, e := range update.Servers {
		reply.Servers = append(reply.Servers, &slatewindv1.PublishedServer{
			Name: e.Name, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Release: e.Release,
			Slots: int32(e.Slots), Leaving: e.Leaving, WarmingNanos: int64(e.Warming),
			StartUnixMillis: e.Start, Created: e.Created,
		})
	}
	for _, s := range update.Ended {
		reply.Ended = append(reply.Ended, &slatewindv1.ServerStart{Name: s.Name, UnixMillis: s.Start})
	}
	return reply, nil
}

// encodeEvacuations returns a list as sent to other processes, or nil if its revision is zero.
func encodeEvacuations(list slatewind.Evacuations) *slatewindv1.Evacuations {
	if list.Revision.IsZero() {
		return nil
	}
	return &slatewindv1.Evacuations{Era: list.Revision.Era, Revision: list.Revision.Number, DataCentres: list.DataCentres}
}

// decodeEvacuations returns the list that another process sent.
func decodeEvacuations(list *slatewindv1.Evacuations) slatewind.Evacuations {
	return slatewind.Evacuations{
		Revision:    slatewind.Revision{Era: list.GetEra(), Number: list.GetRevision()},
		DataCentres: slices.Sorted(slices.Values(list.GetDataCentres())),
	}
}
