package link

import (
	"context"
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
// of the store. version is that of the caller's settings. observations holds the caller's reports
// about unhealthy servers and about requests during which servers crashed; those of the
// other process are returned.
func (p *Pool) Since(ctx context.Context, address string, after slatewind.Revision, version uint64, observations Observations) (slatewind.ServerUpdate, Observations, error) {
	request := &slatewindv1.SinceRequest{
		Era: after.Era, Revision: after.Number, Version: version, Reports: observations.Reports, SuspectsSum: observations.Suspects.Sum, Suspects: SuspectsOf(observations.Suspects.Records),
	}
	reply, err := call(ctx, p, address, request, slatewindv1.NewNewsClient, slatewindv1.NewsClient.Since)
	if err != nil {
		return slatewind.ServerUpdate{}, Observations{}, err
	}
	update := slatewind.ServerUpdate{
		Revision: slatewind.Revision{Era: reply.GetEra(), Number: reply.GetRevision()}, Age: time.Duration(reply.GetAgeNanos()), Complete: reply.GetWhole(), Removed: reply.GetRemoved(),
		Version: reply.GetVersion(), PlatformUnreachable: reply.GetCut(),
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
	// that has the given version of the settings.
	UpdateSince func(after slatewind.Revision, version uint64) slatewind.ServerUpdate
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
	update := s.UpdateSince(slatewind.Revision{Era: request.GetEra(), Number: request.GetRevision()}, request.GetVersion())
	observations := s.Exchange(Observations{request.GetReports(), Suspects{request.GetSuspectsSum(), RecordsOf(request.GetSuspects())}})
	reply := &slatewindv1.SinceReply{
		Era: update.Revision.Era, Revision: update.Revision.Number, AgeNanos: int64(update.Age), Whole: update.Complete, Removed: update.Removed, Version: update.Version, Cut: update.PlatformUnreachable,
		Reports: observations.Reports, SuspectsSum: observations.Suspects.Sum, Suspects: SuspectsOf(observations.Suspects.Records),
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
