package soak

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/platform"
)

// service is the service of a fleet's servers, the only one unless addresses are reused, in one data centre unless dataCentreOf says otherwise; host is the host that its callers
// request.
const (
	service    = "till"
	dataCentre = "dc"
	host       = "till.example"
)

// Path prefixes of the routes that every version of the settings has.
const (
	singlePath     = "/pay/"
	repeatablePath = "/look/"
	// repeatableBelow lies below singlePath. The paths of singlePaths do not begin with it.
	repeatableBelow = singlePath + "refund/"
)

// singlePaths are the paths of single requests.
var singlePaths = []string{singlePath, singlePath + "refund", singlePath + "refund%2F1"}

const (
	// serverSlots is the number of requests that a server takes at once.
	serverSlots = 4
	// attempts is the maximum number of attempts per request, including the first.
	attempts = 2
	// objective is the latency objective of the routes; their timeout is requestTimeout.
	objective = 400 * time.Millisecond
)

// putEntry writes the entry of a server to the store, as the server itself does.
func (f *fleet) putEntry(i int, leaving bool) {
	value, err := platform.EncodeServer(slatewind.ServerEntry{
		Service: service, Address: f.serverAddress(i),
		DataCentre: f.dataCentreOf(i), Slots: serverSlots, Leaving: leaving,
	})
	if err != nil {
		panic(err) // Only a bug in this package causes an error.
	}
	f.store.Put(platform.ServersPrefix+serverName(i), value)
}

// publish publishes new settings and returns their version. Each version adds a route of its own
// to those of all earlier versions.
func (f *fleet) publish() uint64 {
	version := f.version.Add(1)
	f.store.Put(platform.ConfigKey, encodeVersion(version))
	return version
}

// encodeVersion returns the settings of a version in the encoding of the store.
func encodeVersion(version uint64) []byte { return encode(settingsOf(version), nil) }

// encode returns settings in the encoding of the store; keys holds the keys of each workspace.
func encode(settings slatewind.PublishedSettings, keys map[string][]string) []byte {
	value, err := platform.EncodeConfig(settings, keys)
	if err != nil {
		panic(err) // Only a bug in this package causes an error.
	}
	return value
}

// settingsOf returns the settings of a version.
func settingsOf(version uint64) slatewind.PublishedSettings {
	routes := []*slatewindv1.Route{
		newRoute(singlePath, slatewind.KindSingle),
		newRoute(repeatablePath, slatewind.KindRepeatable),
		newRoute(repeatableBelow, slatewind.KindRepeatable),
	}
	for v := uint64(1); v <= version; v++ {
		routes = append(routes, newRoute(versionPath(v), slatewind.KindRepeatable))
	}
	return slatewind.PublishedSettings{Version: version, Fleet: &slatewindv1.Fleet{
		Services: []*slatewindv1.Service{newService(service)}, Routes: routes,
	}}
}

// newService returns a service without limits.
func newService(name string) *slatewindv1.Service { return &slatewindv1.Service{Name: name} }

// versionPath returns the path prefix of the route that a version of the settings adds.
func versionPath(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

// newRoute returns a route to the fleet's service.
func newRoute(prefix string, kind slatewind.Kind) *slatewindv1.Route {
	return &slatewindv1.Route{
		Name: strings.Trim(prefix, "/"), Host: host, PathPrefix: prefix,
		Kind: string(kind), Service: service, Attempts: attempts,
		Timeout: durationpb.New(requestTimeout), Objective: durationpb.New(objective),
	}
}

// processSettings returns the content of the settings file of a node's process, beside a server of a
// service.
func (f *fleet) processSettings(i int, service string) string {
	return fmt.Sprintf(`vm: vm-%d
data_centre: %s
ingress_address: %q
ready_address: %q
peer_address: %q
admin_address: %q
local_server: {service: %s, address: %q}
store: {address: %q, reads_per_second: 2000, history: 20s}
bounds: {drain: 2s, grace: %s, settings: 2s, retry_ratio: %g, retry_window: %s, retry_slack: %g, address_reuse: 2s}
limits: {%s}
seed_peers: [%q, %q]
`,
		i, f.dataCentreOf(i),
		f.address(ownBase, i, portCallers), f.address(ownBase, i, portReady),
		f.address(ownBase, i, portPeers), f.address(ownBase, i, portAdmin),
		service, f.serverAddress(i), f.address(storeBase, i, portStore),
		graceTime, budgetRatio, budgetWindow, budgetSlack, f.limitsText(),
		f.address(linkBase, 0, portPeers), f.address(linkBase, 1, portPeers))
}
