package link

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/quarantine"
)

// Told is what processes tell each other with questions for news and with the answers.
type Told struct {
	// Reports are those of sick servers.
	Reports  []*slatewindv1.ServerReport
	Suspects Suspects
}

// Since asks the process at an IP:port address which servers changed after a
// revision of the store. version is that of the settings that the caller has, told are its
// reports of sick servers and of requests under which servers ended; those of the other process
// come back.
func (p *Pool) Since(ctx context.Context, address string, after slatewind.Revision, version uint64, told Told) (slatewind.ServerUpdate, Told, error) {
	question := &slatewindv1.SinceRequest{
		Era: after.Era, Revision: after.Number, Version: version, Reports: told.Reports, SuspectsSum: told.Suspects.Sum, Suspects: SuspectsOf(told.Suspects.Records),
	}
	reply, err := call(ctx, p, address, question, slatewindv1.NewNewsClient, slatewindv1.NewsClient.Since)
	if err != nil {
		return slatewind.ServerUpdate{}, Told{}, err
	}
	news := slatewind.ServerUpdate{
		Revision: slatewind.Revision{Era: reply.GetEra(), Number: reply.GetRevision()}, Age: time.Duration(reply.GetAgeNanos()), Complete: reply.GetWhole(), Removed: reply.GetRemoved(),
		Version: reply.GetVersion(), PlatformUnreachable: reply.GetCut(),
	}
	for _, s := range reply.GetServers() {
		news.Servers = append(news.Servers, slatewind.ServerEntry{
			Name: s.GetName(), Service: s.GetService(), Address: s.GetAddress(), DataCentre: s.GetDataCentre(), Release: s.GetRelease(),
			Slots: int(s.GetSlots()), Leaving: s.GetLeaving(), Warming: time.Duration(s.GetWarmingNanos()),
			Start: s.GetStartUnixMillis(), Created: s.GetCreated(),
		})
	}
	for _, s := range reply.GetEnded() {
		news.Ended = append(news.Ended, slatewind.ServerStart{Name: s.GetName(), Start: s.GetUnixMillis()})
	}
	return news, Told{reply.GetReports(), Suspects{reply.GetSuspectsSum(), RecordsOf(reply.GetSuspects())}}, nil
}

// NewsServer passes on what a process knows of the store.
type NewsServer struct {
	slatewindv1.UnimplementedNewsServer
	// Known returns which servers changed after a revision of the store, for a
	// process that has the given version of the settings.
	Known func(after slatewind.Revision, version uint64) slatewind.ServerUpdate
	// Exchange takes what another process tells and returns what this one does.
	Exchange func(told Told) Told
	// Told takes what has just happened beside another process.
	Told func(records []quarantine.Record)
	// Newest returns the settings that the process has, or nil.
	Newest func() *slatewind.PublishedSettings

	packer packer
}

// Since implements the generated interface.
func (s *NewsServer) Since(_ context.Context, request *slatewindv1.SinceRequest) (*slatewindv1.SinceReply, error) {
	news := s.Known(slatewind.Revision{Era: request.GetEra(), Number: request.GetRevision()}, request.GetVersion())
	told := s.Exchange(Told{request.GetReports(), Suspects{request.GetSuspectsSum(), RecordsOf(request.GetSuspects())}})
	reply := &slatewindv1.SinceReply{
		Era: news.Revision.Era, Revision: news.Revision.Number, AgeNanos: int64(news.Age), Whole: news.Complete, Removed: news.Removed, Version: news.Version, Cut: news.PlatformUnreachable,
		Reports: told.Reports, SuspectsSum: told.Suspects.Sum, Suspects: SuspectsOf(told.Suspects.Records),
	}
	for _, e := range news.Servers {
		reply.Servers = append(reply.Servers, &slatewindv1.PublishedServer{
			Name: e.Name, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Release: e.Release,
			Slots: int32(e.Slots), Leaving: e.Leaving, WarmingNanos: int64(e.Warming),
			StartUnixMillis: e.Start, Created: e.Created,
		})
	}
	for _, s := range news.Ended {
		reply.Ended = append(reply.Ended, &slatewindv1.ServerStart{Name: s.Name, UnixMillis: s.Start})
	}
	return reply, nil
}
