package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/workspace"
)

// Check describes one check of settings files. slatewind check --explain prints it.
type Check struct {
	ID    string
	Title string
	// Reason is what would go wrong without the check.
	Reason string
	// Since is the first version of the program with the check.
	Since string
}

// Checks lists all checks in the order of their IDs.
var Checks = []Check{
	{"SW1001", "The file is one YAML document of at most a megabyte", "A second document would be silently ignored, and the platform stores no larger value.", "0.1"},
	{"SW1002", "Every field is known and has a value of its type", "A misspelt field or a number without its unit would silently leave the default in force.", "0.1"},
	{"SW1003", "No mapping has the same field twice", "Only the last value would take effect, while a reader of the file may have seen the first.", "0.1"},
	{"SW1004", "Names are present and unique", "Decisions, metrics and records refer to services, servers and routes by name.", "0.1"},
	{"SW1005", "A route names a service of the file", "Its requests could not be routed to any server.", "0.1"},
	{"SW1006", "A floor is at most the number of servers", "No set of servers could satisfy it, so no server could ever be ejected.", "0.1"},
	{"SW1007", "Addresses are IP:port", "Processes connect to each other by IP address; host names would need a DNS resolver, which is not assumed to exist.", "0.1"},
	{"SW1008", "Kinds and priorities have a known value", "A request of an unknown kind might be executed twice.", "0.1"},
	{"SW1009", "Times are positive and caution lies from 4 to 40 nats", "A timeout of zero refuses every request; with a caution outside these bounds, servers are ejected at random or never.", "0.1"},
	{"SW1010", "Servers have slots, a VM and an address of their own", "The sidecar enforces the number of slots exactly; the slots of two servers at one address would be counted separately.", "0.1"},
	{"SW1011", "No two routes match the same requests", "Which of them is used would depend on the order in the file.", "0.1"},
	{"SW1012", "Path prefixes begin with a slash", "Request paths begin with a slash, so the route would never match.", "0.1"},
	{"SW1013", "A route's largest body fits into a message between processes", "A larger body would be accepted from the caller but could not be forwarded.", "0.1"},
	{"SW1014", "Extra attempts are bounded by a ratio from 0 to 1 and a slack from 0", "A ratio above 1 would let retries more than double the load of unhealthy servers.", "0.2"},
	{"SW1015", "A log level is debug, info, warn or error", "Any other value would silently leave the default level in force.", "0.3"},
	{"SW1016", "Keys of workspaces are given by digests, each of one workspace", "A key in plain text could be read by everyone who can read the file; requests with a key of two workspaces could not be attributed to one of them.", "0.4"},
	{"SW1017", "Rates and bursts are not below 0", "A negative limit would refuse every request.", "0.4"},
	{"SW1018", "A processor share is not below 0", "A process would set its garbage collection as if it had no processor time for it.", "0.4"},
}

// MaxBodyBytes is the largest request body. It fits into one message between processes
// together with the header fields.
const MaxBodyBytes = 7 << 20

// Bounds of caution in nats. Below minCaution a healthy server would be ejected about every
// 50 requests, above maxCaution no server would be ejected in any realistic time.
const (
	minCaution = 4
	maxCaution = 40
)

// checker collects the findings in one file.
type checker struct {
	file     string
	document *yaml.Node
	findings Findings
}

// add adds a finding at the position of path in the file (see nodeAt).
func (c *checker) add(check, message string, path ...any) {
	n := nodeAt(c.document, path...)
	c.findings = append(c.findings, Finding{c.file, n.Line, n.Column, check, message})
}

func checkFleet(file string, document *yaml.Node, fleet *slatewindv1.Fleet) Findings {
	c := &checker{file: file, document: document}
	if len(fleet.GetServices()) == 0 {
		c.add("SW1004", "file describes no service", "services")
	}
	services := c.checkServices(fleet)
	c.checkRoutes(fleet, services)
	c.checkWorkspaces(fleet)
	return c.findings
}

// checkServices checks the services and their servers, and returns the names of the services.
func (c *checker) checkServices(fleet *slatewindv1.Fleet) map[string]bool {
	services := map[string]bool{}
	servers := map[string]bool{}
	addresses := map[string]string{}
	for i, service := range fleet.GetServices() {
		c.checkName("service", service.GetName(), services, "services", i)
		c.checkServiceNumbers(i, service)
		for j, server := range service.GetServers() {
			c.checkName("server", server.GetName(), servers, "services", i, "servers", j)
			c.checkServer(i, j, service, server, addresses)
		}
	}
	return services
}

// checkName reports a missing or repeated name and adds it to used.
func (c *checker) checkName(what, name string, used map[string]bool, path ...any) {
	path = append(path, "name")
	switch {
	case name == "":
		c.add("SW1004", what+" has no name", path...)
	case used[name]:
		c.add("SW1004", fmt.Sprintf("%s name %q is used twice", what, name), path...)
	}
	used[name] = true
}

func (c *checker) checkServiceNumbers(i int, service *slatewindv1.Service) {
	count := len(service.GetServers())
	if count == 0 {
		c.add("SW1010", fmt.Sprintf("service %q has no server", service.GetName()), "services", i, "servers")
	}
	if int(service.GetFloor()) > count {
		message := fmt.Sprintf("floor %d is above the number of servers, %d", service.GetFloor(), count)
		c.add("SW1006", message, "services", i, "floor")
	}
	caution := service.GetCaution()
	if caution != 0 && (caution < minCaution || caution > maxCaution) {
		message := fmt.Sprintf("caution %g is outside %d to %d nats", caution, minCaution, maxCaution)
		c.add("SW1009", message, "services", i, "caution")
	}
	if rate := service.GetWarmupRate(); rate < 0 {
		c.add("SW1017", fmt.Sprintf("warmup_rate %g is below 0", rate), "services", i, "warmup_rate")
	}
	c.checkDuration(service.GetWarmupTime(), "services", i, "warmup_time")
	c.checkDuration(service.GetKeyLifetime(), "services", i, "key_lifetime")
	c.checkDuration(service.GetProbeInterval(), "services", i, "probe_interval")
	if path := service.GetProbePath(); path != "" && !strings.HasPrefix(path, "/") {
		c.add("SW1012", fmt.Sprintf("probe path %q does not begin with a slash", path), "services", i, "probe_path")
	}
}

func (c *checker) checkServer(i, j int, service *slatewindv1.Service, server *slatewindv1.Server, addresses map[string]string) {
	if server.GetVm() == "" {
		c.add("SW1010", fmt.Sprintf("server %q names no VM", server.GetName()), "services", i, "servers", j, "vm")
	}
	if server.GetSlots() == 0 && service.GetSlots() == 0 {
		c.add("SW1010", fmt.Sprintf("neither server %q nor its service states slots", server.GetName()), "services", i, "servers", j, "slots")
	}
	c.checkAddress(server.GetAddress(), "services", i, "servers", j, "address")
	if other, ok := addresses[server.GetAddress()]; ok {
		message := fmt.Sprintf("address %s belongs to server %q already", server.GetAddress(), other)
		c.add("SW1010", message, "services", i, "servers", j, "address")
	}
	addresses[server.GetAddress()] = server.GetName()
}

func (c *checker) checkRoutes(fleet *slatewindv1.Fleet, services map[string]bool) {
	names := map[string]bool{}
	matches := map[string]string{}
	for i, route := range fleet.GetRoutes() {
		c.checkName("route", route.GetName(), names, "routes", i)
		if !services[route.GetService()] {
			c.add("SW1005", fmt.Sprintf("route %q names no service of this file: %q", route.GetName(), route.GetService()), "routes", i, "service")
		}
		c.checkRouteValues(i, route)
		c.checkDuration(route.GetTimeout(), "routes", i, "timeout")
		if route.GetMaxBodyBytes() > MaxBodyBytes {
			c.add("SW1013", fmt.Sprintf("max_body_bytes %d is above %d", route.GetMaxBodyBytes(), MaxBodyBytes), "routes", i, "max_body_bytes")
		}
		c.checkOverlap(i, route, matches)
	}
}

// checkWorkspaces checks the workspaces. Findings do not quote an invalid digest, since it may be
// a key in plain text.
func (c *checker) checkWorkspaces(fleet *slatewindv1.Fleet) {
	names := map[string]bool{}
	owners := map[workspace.Digest]string{}
	for i, w := range fleet.GetWorkspaces() {
		c.checkName("workspace", w.GetName(), names, "workspaces", i)
		for j, text := range w.GetKeyDigests() {
			c.checkDigest(w.GetName(), text, owners, "workspaces", i, "key_digests", j)
		}
		if w.GetRate() < 0 {
			c.add("SW1017", fmt.Sprintf("rate %g is below 0", w.GetRate()), "workspaces", i, "rate")
		}
		if w.GetBurst() < 0 {
			c.add("SW1017", fmt.Sprintf("burst %g is below 0", w.GetBurst()), "workspaces", i, "burst")
		}
	}
}

// checkDigest checks the digest of one key and adds its workspace to owners.
func (c *checker) checkDigest(name, text string, owners map[workspace.Digest]string, path ...any) {
	digest, err := workspace.ParseDigest(text)
	if err != nil {
		c.add("SW1016", err.Error()+"; slatewind digest makes one", path...)
		return
	}
	if owner, taken := owners[digest]; taken {
		c.add("SW1016", fmt.Sprintf("the digest is already used in workspace %q", owner), path...)
	}
	owners[digest] = name
}

// checkRouteValues checks the kind, priority and path prefix of a route.
func (c *checker) checkRouteValues(i int, route *slatewindv1.Route) {
	switch slatewind.Kind(route.GetKind()) {
	case slatewind.KindRepeatable, slatewind.KindOnce:
	default:
		c.add("SW1008", fmt.Sprintf("kind %q is neither repeatable nor once", route.GetKind()), "routes", i, "kind")
	}
	switch slatewind.Priority(route.GetPriority()) {
	case slatewind.PriorityInteractive, slatewind.PriorityBackground, "":
	default:
		c.add("SW1008", fmt.Sprintf("priority %q is neither interactive nor background", route.GetPriority()), "routes", i, "priority")
	}
	if !strings.HasPrefix(route.GetPathPrefix(), "/") {
		c.add("SW1012", fmt.Sprintf("path prefix %q does not begin with a slash", route.GetPathPrefix()), "routes", i, "path_prefix")
	}
}

// checkOverlap reports routes that match the same host, method and prefix.
func (c *checker) checkOverlap(i int, route *slatewindv1.Route, matches map[string]string) {
	methods := route.GetMethods()
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, method := range methods {
		match := strings.Join([]string{route.GetHost(), method, strings.TrimSuffix(route.GetPathPrefix(), "/")}, " ")
		if other, ok := matches[match]; ok {
			c.add("SW1011", fmt.Sprintf("route %q matches the same requests as route %q", route.GetName(), other), "routes", i, "path_prefix")
		}
		matches[match] = route.GetName()
	}
}

func (c *checker) checkAddress(address string, path ...any) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.add("SW1007", fmt.Sprintf("address %q is not IP:port", address), path...)
	}
}

func (c *checker) checkDuration(d *durationpb.Duration, path ...any) {
	if d != nil && d.AsDuration() <= 0 {
		c.add("SW1009", fmt.Sprintf("time %s is not positive", d.AsDuration()), path...)
	}
}

// logLevels are the valid values of log_level.
var logLevels = []slatewind.LogLevel{slatewind.LogDebug, slatewind.LogInfo, slatewind.LogWarn, slatewind.LogError}

func checkProcess(file string, document *yaml.Node, process *slatewindv1.Process) Findings {
	c := &checker{file: file, document: document}
	if process.GetVm() == "" {
		c.add("SW1004", "process names no VM", "vm")
	}
	if process.GetDataCentre() == "" {
		c.add("SW1004", "process names no data centre", "data_centre")
	}
	c.checkAddress(process.GetIngressAddress(), "ingress_address")
	c.checkAddress(process.GetPeerAddress(), "peer_address")
	c.checkAddress(process.GetAdminAddress(), "admin_address")
	for i, address := range process.GetSeedPeers() {
		c.checkAddress(address, "seed_peers", i)
	}
	if level := process.GetLogLevel(); level != "" && !slices.Contains(logLevels, slatewind.LogLevel(level)) {
		c.add("SW1015", fmt.Sprintf("log level %q is not debug, info, warn or error", level), "log_level")
	}
	names := map[string]bool{}
	for i, dataCentre := range process.GetDataCentres() {
		c.checkName("data centre", dataCentre.GetName(), names, "data_centres", i)
	}
	if share := process.GetLimits().GetProcessorShare(); share < 0 {
		c.add("SW1018", fmt.Sprintf("processor_share %g is below 0", share), "limits", "processor_share")
	}
	if process.GetStore() != nil {
		c.checkNode(process)
		return c.findings
	}
	base, err := url.Parse(process.GetPlatformUrl())
	if err != nil || base.Scheme != "http" || base.Host == "" {
		c.add("SW1007", fmt.Sprintf("platform URL %q is not http://IP:port", process.GetPlatformUrl()), "platform_url")
	}
	return c.findings
}

// checkNode checks the settings of a process that reads the servers from the platform's store.
func (c *checker) checkNode(process *slatewindv1.Process) {
	c.checkAddress(process.GetStore().GetAddress(), "store", "address")
	c.checkAddress(process.GetReadyAddress(), "ready_address")
	c.checkAddress(process.GetLocalServer().GetAddress(), "local_server", "address")
	if process.GetLocalServer().GetService() == "" {
		c.add("SW1004", "the local server names no service", "local_server", "service")
	}
	bounds := process.GetBounds()
	for name, bound := range map[string]*durationpb.Duration{
		"drain": bounds.GetDrain(), "grace": bounds.GetGrace(), "settings": bounds.GetSettings(),
		"retry_window": bounds.GetRetryWindow(), "address_reuse": bounds.GetAddressReuse(),
	} {
		c.checkDuration(bound, "bounds", name)
	}
	if ratio := bounds.GetRetryRatio(); ratio < 0 || ratio > 1 {
		c.add("SW1014", fmt.Sprintf("retry_ratio %g is outside 0 to 1", ratio), "bounds", "retry_ratio")
	}
	if slack := bounds.GetRetrySlack(); slack < 0 {
		c.add("SW1014", fmt.Sprintf("retry_slack %g is below 0", slack), "bounds", "retry_slack")
	}
}

// Defaults of the operators' file. defaultCaution is derived from the curve in docs/POLICY.md.
const (
	defaultCaution       = 16
	defaultKeyLifetime   = 10 * time.Minute
	defaultProbeInterval = 5 * time.Second
	defaultProbePath     = "/health"
	defaultTimeout       = 2 * time.Second
	defaultMaxBody       = 1 << 20
)

func setFleetDefaults(fleet *slatewindv1.Fleet) {
	for _, service := range fleet.GetServices() {
		setServiceDefaults(service)
	}
	for _, route := range fleet.GetRoutes() {
		if route.Priority == "" {
			route.Priority = string(slatewind.PriorityInteractive)
		}
		if route.Timeout == nil {
			route.Timeout = durationpb.New(defaultTimeout)
		}
		if route.MaxBodyBytes == 0 {
			route.MaxBodyBytes = defaultMaxBody
		}
	}
}

func setServiceDefaults(service *slatewindv1.Service) {
	if service.Caution == 0 {
		service.Caution = defaultCaution
	}
	if service.KeyLifetime == nil {
		service.KeyLifetime = durationpb.New(defaultKeyLifetime)
	}
	if service.ProbeInterval == nil {
		service.ProbeInterval = durationpb.New(defaultProbeInterval)
	}
	if service.ProbePath == "" {
		service.ProbePath = defaultProbePath
	}
	for _, server := range service.GetServers() {
		if server.Slots == 0 {
			server.Slots = service.GetSlots()
		}
	}
}

// Defaults of the process settings; each bounds the memory of a process.
const (
	defaultOnceRecords     = 20000
	defaultOnceAnswerBytes = 8 << 20
	defaultTombstones      = 20000
	defaultJournalEntries  = 4096
	defaultRecordedEvents  = 8192
)

func setProcessDefaults(process *slatewindv1.Process) {
	if process.Limits == nil {
		process.Limits = &slatewindv1.Limits{}
	}
	limits := process.Limits
	setDefault(&limits.OnceRecords, defaultOnceRecords)
	setDefault(&limits.OnceAnswerBytes, defaultOnceAnswerBytes)
	setDefault(&limits.Tombstones, defaultTombstones)
	setDefault(&limits.JournalEntries, defaultJournalEntries)
	setDefault(&limits.RecordedEvents, defaultRecordedEvents)
}

func setDefault(field *uint32, value uint32) {
	if *field == 0 {
		*field = value
	}
}
