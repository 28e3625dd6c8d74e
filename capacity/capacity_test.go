// Package capacity_test measures the unit costs from which docs/CAPACITY.md is
// computed: bytes and nanoseconds per known server, route, record, peer, gossip round
// and change. Run it with make capacity.
package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/attempt"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/member"
	"slatewind.example/slatewind/occupant"
	"slatewind.example/slatewind/once"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/policy"
	"slatewind.example/slatewind/routing"
)

// Sizes of the target fleet.
const (
	targetVMs      = 2200
	targetServers  = 21000
	targetServices = 1100
	targetRoutes   = 7900
)

var begin = time.Unix(1_700_000_000, 0)

// heap returns the size of the live heap in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// bytesPer reports the live heap that build allocates, divided by count.
func bytesPer(b *testing.B, unit string, count int, build func() any) {
	b.Helper()
	before := heap()
	kept := build()
	b.ReportMetric((heap()-before)/float64(count), "B/"+unit)
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(kept)
}

func service(name string, servers int) *slatewindv1.Service {
	s := &slatewindv1.Service{Name: name, Floor: 1, Caution: 16}
	for i := range servers {
		s.Servers = append(s.Servers, &slatewindv1.Server{Name: fmt.Sprintf("%s-%d", name, i), Vm: fmt.Sprint("vm-", i), Slots: 10})
	}
	return s
}

func dataCentreOf(vm string) string { return "dc-" + vm[len(vm)-1:] }

func digest(server string, sequence uint64) *slatewindv1.Digest {
	var ring outlier.Ring
	for range outlier.RingSize {
		ring.Add(1, slatewind.ResultOK, 20*time.Millisecond)
	}
	return &slatewindv1.Digest{
		Service: "s", Server: server, Incarnation: 1<<40 | 1, InFlight: 3, Slots: 10,
		Sequence: sequence, Serial: sequence, Outcomes: ring.Newest(nil),
	}
}

// newPolicy returns the policy of a service after a digest of each server, and these
// digests.
func newPolicy(servers int) (*policy.Service, []*slatewindv1.Digest) {
	p := policy.NewService("s", "dc-1", 1)
	p.Update(begin, service("s", servers), dataCentreOf)
	digests := make([]*slatewindv1.Digest, servers)
	for i := range digests {
		digests[i] = digest(fmt.Sprintf("s-%d", i), 32)
		p.ApplyDigest(begin, digests[i], true)
	}
	return p, digests
}

func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{9, 100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			p, _ := newPolicy(servers)
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(begin, slatewind.KindRepeatable, nil)
			}
		})
	}
}

// BenchmarkDecide measures the total cost of the decisions for one request at its
// ingress: choosing a server, recording the attempt, a digest with one new outcome, and
// the end of the attempt.
func BenchmarkDecide(b *testing.B) {
	for _, servers := range []int{9, 19, 100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			p, digests := newPolicy(servers)
			b.ReportAllocs()
			for b.Loop() {
				p.RecordFirst()
				i := p.Pick(begin, slatewind.KindRepeatable, nil)
				a := p.Started(begin, i, 1)
				digests[i].Sequence++
				p.ApplyDigest(begin, digests[i], true)
				p.Ended(a)
			}
		})
	}
}

// BenchmarkContended compares one lock for each service with one lock for all of them,
// under GOMAXPROCS goroutines, which is 8 on a machine with 8 cores.
func BenchmarkContended(b *testing.B) {
	const services = 64
	for _, locks := range []int{1, services} {
		b.Run(fmt.Sprint(locks, "-locks"), func(b *testing.B) {
			mutexes := make([]sync.Mutex, locks)
			policies := make([]*policy.Service, services)
			for i := range policies {
				policies[i], _ = newPolicy(9)
			}
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					k := rand.IntN(services)
					mutexes[k%locks].Lock()
					policies[k].Pick(begin, slatewind.KindRepeatable, nil)
					mutexes[k%locks].Unlock()
				}
			})
		})
	}
}

func BenchmarkMemoryPerServerKnown(b *testing.B) {
	bytesPer(b, "server", targetServers, func() any {
		var all []*policy.Service
		for i := range targetServices {
			p := policy.NewService(fmt.Sprint("s", i), "dc-1", 1)
			p.Update(begin, service(fmt.Sprint("s", i), targetServers/targetServices), dataCentreOf)
			all = append(all, p)
		}
		return all
	})
}

// BenchmarkMemoryPerServerReported is BenchmarkMemoryPerServerKnown after a digest of
// each server.
func BenchmarkMemoryPerServerReported(b *testing.B) {
	bytesPer(b, "server", targetServers, func() any {
		var all []*policy.Service
		for i := range targetServices {
			p := policy.NewService(fmt.Sprint("s", i), "dc-1", 1)
			p.Update(begin, service("s", targetServers/targetServices), dataCentreOf)
			for k := range targetServers / targetServices {
				p.ApplyDigest(begin, digest(fmt.Sprintf("s-%d", k), 32), true)
			}
			all = append(all, p)
		}
		return all
	})
}

func BenchmarkTickAllServices(b *testing.B) {
	var all []*policy.Service
	for i := range targetServices {
		p := policy.NewService(fmt.Sprint("s", i), "dc-1", 1)
		p.Update(begin, service("s", targetServers/targetServices), dataCentreOf)
		all = append(all, p)
	}
	for b.Loop() {
		for _, p := range all {
			p.Tick(begin)
		}
	}
}

// fleetText returns an operators' settings file of the given size.
func fleetText(services, servers, routes int) []byte {
	var t strings.Builder
	t.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&t, "  - name: service-%d\n    floor: 3\n    slots: 10\n    servers:\n", i)
		for k := range servers / services {
			n := i*(servers/services) + k
			fmt.Fprintf(&t, "      - {name: s%d-%d, vm: vm-%d, address: \"10.%d.%d.%d:8000\"}\n", i, k, n%targetVMs, n>>16, n>>8&255, n&255)
		}
	}
	t.WriteString("routes:\n")
	for i := range routes {
		fmt.Fprintf(&t, "  - {name: route-%d, path_prefix: /r%d/items, service: service-%d, kind: repeatable}\n", i, i, i%services)
	}
	return []byte(t.String())
}

// BenchmarkSettings parses, checks and indexes a tenth of the target file, since the
// whole file exceeds the platform's limit of one megabyte.
func BenchmarkSettings(b *testing.B) {
	text := fleetText(targetServices/10, targetServers/10, targetRoutes/10)
	b.ReportAllocs()
	for b.Loop() {
		fleet, err := config.ParseFleet("file", text)
		if err != nil {
			b.Fatal(err)
		}
		config.NewSnapshot(config.Version{}, begin, text, fleet)
	}
	b.ReportMetric(float64(len(text))*10, "B-target-file")
}

func BenchmarkMemoryOfSettings(b *testing.B) {
	text := fleetText(targetServices/10, targetServers/10, targetRoutes/10)
	bytesPer(b, "tenth-of-target", 1, func() any {
		fleet, err := config.ParseFleet("file", text)
		if err != nil {
			b.Fatal(err)
		}
		return config.NewSnapshot(config.Version{}, begin, append([]byte(nil), text...), fleet)
	})
}

// BenchmarkChange measures the data that two processes exchange if one service changes.
func BenchmarkChange(b *testing.B) {
	before := fleetText(targetServices/10, targetServers/10, targetRoutes/10)
	after := []byte(strings.Replace(string(before), "service-7\n    floor: 3", "service-7\n    floor: 2", 1))
	have := config.ChunkDigests(config.Split(before))
	for b.Loop() {
		config.Missing(config.Split(after), have)
	}
	sent := 0
	chunks := config.Split(after)
	for _, chunk := range config.Missing(chunks, have) {
		sent += len(chunk)
	}
	b.ReportMetric(float64(sent), "B-moved")
	b.ReportMetric(float64(len(chunks)*8*2), "B-digests")
}

func routes() []*slatewindv1.Route {
	all := make([]*slatewindv1.Route, targetRoutes)
	for i := range all {
		all[i] = &slatewindv1.Route{Name: fmt.Sprint(i), PathPrefix: fmt.Sprintf("/r%d/items", i)}
	}
	return all
}

func BenchmarkRoute(b *testing.B) {
	table := routing.NewTable(routes())
	b.Run("table", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Find("any", "GET", "/r7000/items/17/photos")
		}
	})
	router := mux.NewRouter()
	for _, route := range routes() {
		router.PathPrefix(route.GetPathPrefix())
	}
	b.Run("gorilla-mux", func(b *testing.B) {
		request := newRequest("/r7000/items/17/photos")
		var match mux.RouteMatch
		for b.Loop() {
			router.Match(request, &match)
		}
	})
}

func BenchmarkMemoryPerRoute(b *testing.B) {
	all := routes()
	bytesPer(b, "route", targetRoutes, func() any { return routing.NewTable(all) })
}

func BenchmarkMemoryPerOccupant(b *testing.B) {
	entries := make([]slatewind.ServerEntry, targetServers)
	for i := range entries {
		entries[i] = slatewind.ServerEntry{Name: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Created: 1}
	}
	bytesPer(b, "server", targetServers, func() any {
		t := occupant.NewTable()
		for _, entry := range entries {
			t.Put(entry)
		}
		return t
	})
}

func onceID(i int) once.ID {
	return once.ID{Service: "kassa", Server: "kassa-1", Key: fmt.Sprintf("customer-17\n018bcfe5-67e1-7000-8000-%012d", i)}
}

func BenchmarkMemoryPerOnceRecord(b *testing.B) {
	const records = once.DefaultRecords
	bytesPer(b, "record", records, func() any {
		s := once.NewStore(begin, records, 1<<30)
		s.SetOwners(begin, "kassa", 1)
		for i := range records {
			s.Begin(begin, once.Request{ID: onceID(i), Claim: slatewind.ClaimFirst, Owners: 1, Attempt: "0123456789abcdef-1"})
			s.Finish(begin, onceID(i), &slatewind.Answer{Status: 200})
		}
		return s
	})
}

// BenchmarkOnce measures the operations for one request on a full store.
func BenchmarkOnce(b *testing.B) {
	s := once.NewStore(begin, once.DefaultRecords, 0)
	s.SetOwners(begin, "kassa", 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := once.ID{Service: "kassa", Server: "kassa-1", Key: fmt.Sprint(i)}
		s.Begin(begin, once.Request{ID: id, Claim: slatewind.ClaimFirst, Owners: 1})
		s.Finish(begin, id, &slatewind.Answer{Status: 200})
	}
}

func BenchmarkMemoryPerAttempt(b *testing.B) {
	const attempts = attempt.DefaultLimit
	bytesPer(b, "attempt", attempts, func() any {
		t := attempt.NewTable(begin, 1<<24, attempts)
		for i := range attempts {
			t.Admit(fmt.Sprint(i), 1<<24)
		}
		return t
	})
}

func BenchmarkAttempt(b *testing.B) {
	t := attempt.NewTable(begin, 1<<24, 1<<30)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint(i)
		t.Admit(id, 1<<24)
		t.Start(id)
		t.End(id)
	}
}

func members(count int) *member.Table {
	t := member.NewTable(begin, entry(0))
	for i := 1; i < count; i++ {
		t.Merge(begin, entry(i))
	}
	return t
}

func entry(i int) member.Entry {
	return member.Entry{
		VM: fmt.Sprintf("dkr-plateau-vm-%d", i), DataCentre: fmt.Sprint("dc-", i%6), PeerAddress: fmt.Sprintf("10.0.%d.%d:8090", i>>8, i&255),
		Incarnation: 1 << 40, Serial: 1, State: slatewind.VMLive, Source: slatewind.SourceGossip,
	}
}

func BenchmarkMemoryPerMember(b *testing.B) {
	bytesPer(b, "member", targetVMs, func() any { return members(targetVMs) })
}

func BenchmarkDrawPeers(b *testing.B) {
	t := members(targetVMs)
	r := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		t.Peers(r, 2)
	}
}

func BenchmarkReaderRank(b *testing.B) {
	t := members(targetVMs)
	for b.Loop() {
		t.ReaderRank()
	}
}

// syncRequest returns a typical message of a gossip round, from a VM with ten servers
// when four members have changed within half a minute.
func syncRequest() *slatewindv1.SyncRequest {
	r := &slatewindv1.SyncRequest{Self: apiMember(0), Version: &slatewindv1.Version{Revision: 1 << 20, Digest: 1 << 63}, PlatformAgeNanos: 1 << 32}
	for i := range 4 {
		r.Members = append(r.Members, apiMember(i))
	}
	for i := range 10 {
		d := digest(fmt.Sprintf("service-%d-server-%d", i, i), 1<<20)
		d.Outcomes = nil
		r.Digests = append(r.Digests, d)
	}
	return r
}

func apiMember(i int) *slatewindv1.Member {
	e := entry(i)
	return &slatewindv1.Member{
		Vm: e.VM, DataCentre: e.DataCentre, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation, Serial: 1,
		State: string(e.State), Source: string(e.Source), AgeNanos: 1 << 40,
	}
}

// BenchmarkExchange encodes and decodes one message of a gossip round.
func BenchmarkExchange(b *testing.B) {
	message := syncRequest()
	for b.Loop() {
		raw, err := proto.Marshal(message)
		if err != nil {
			b.Fatal(err)
		}
		if err := proto.Unmarshal(raw, &slatewindv1.SyncRequest{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(message)), "B-message")
}

// BenchmarkReplyDigest measures the digest that a reply carries.
func BenchmarkReplyDigest(b *testing.B) {
	d := digest("", 1<<20)
	d.Service = ""
	for b.Loop() {
		_, _ = proto.Marshal(d)
	}
	b.ReportMetric(float64(proto.Size(d)), "B-with-outcomes")
	d.Outcomes = nil
	b.ReportMetric(float64(proto.Size(d)), "B-without")
}

func BenchmarkMemoryPerConnection(b *testing.B) {
	const peers = 200
	bytesPer(b, "idle-peer", peers, func() any {
		pool := link.NewPool(nil)
		for i := range peers {
			pool.Prepare(fmt.Sprintf("127.0.0.1:%d", 10000+i))
		}
		return pool
	})
}

func BenchmarkMemoryPerJournalEntry(b *testing.B) {
	const entries = history.DefaultEntries
	bytesPer(b, "entry", entries, func() any {
		j := history.New(entries, nil)
		for i := range entries {
			j.Add(slatewind.Decision{
				Time: begin, Kind: slatewind.DecisionRefuse, Service: "kassa", Server: "kassa-1", Request: fmt.Sprint("0123456789abcdef-", i),
				Reason: fmt.Sprint("no slot will be free in time ", i), Evidence: fmt.Sprint("route=price outcome=not-run took=", i),
			})
		}
		return j
	})
}
