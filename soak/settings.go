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

// service is the only service of a fleet, in one data centre; host is what its
// callers ask for.
const (
	service    = "till"
	dataCentre = "dc"
	host       = "till.example"
)

// Paths that are there in every version of the settings.
const (
	singlePath     = "/pay/"
	repeatablePath = "/look/"
)

const (
	// serverSlots is how many requests a server takes at once.
	serverSlots = 4
	// attempts is how often a request may be sent in all.
	attempts = 2
	// objective is the time in which routes should answer; they have to within
	// callerTime.
	objective = 400 * time.Millisecond
)

// putEntry writes a server's entry as the server itself does.
func (f *fleet) putEntry(i int, leaving bool) {
	value, err := platform.EncodeServer(slatewind.ServerEntry{
		Service: service, Address: f.address(linkBase, i, portServer),
		DataCentre: dataCentre, Slots: serverSlots, Leaving: leaving,
	})
	if err != nil {
		panic(err) // Only a fault of this package does that.
	}
	f.store.Put(platform.ServersPrefix+serverName(i), value)
}

// publish puts new settings in force and returns their version. Each version has
// a route of its own besides those of all before it.
func (f *fleet) publish() uint64 {
	version := f.version.Add(1)
	f.store.Put(platform.ConfigKey, encodeVersion(version))
	return version
}

// encodeVersion returns the settings of a version as the store holds them.
func encodeVersion(version uint64) []byte { return encode(settingsOf(version), nil) }

// encode returns settings as the store holds them; keys are those of the workspaces.
func encode(settings slatewind.PublishedSettings, keys map[string][]string) []byte {
	value, err := platform.EncodeConfig(settings, keys)
	if err != nil {
		panic(err) // Only a fault of this package does that.
	}
	return value
}

// settingsOf returns the settings of a version.
func settingsOf(version uint64) slatewind.PublishedSettings {
	routes := []*slatewindv1.Route{
		newRoute(singlePath, slatewind.KindSingle),
		newRoute(repeatablePath, slatewind.KindRepeatable),
	}
	for v := uint64(1); v <= version; v++ {
		routes = append(routes, newRoute(versionPath(v), slatewind.KindRepeatable))
	}
	return slatewind.PublishedSettings{Version: version, Fleet: &slatewindv1.Fleet{
		Services: []*slatewindv1.Service{{Name: service}}, Routes: routes,
	}}
}

// versionPath returns the path that a version of the settings adds.
func versionPath(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

// newRoute returns a route to the fleet's service.
func newRoute(prefix string, kind slatewind.Kind) *slatewindv1.Route {
	return &slatewindv1.Route{
		Name: strings.Trim(prefix, "/"), Host: host, PathPrefix: prefix,
		Kind: string(kind), Service: service, Attempts: attempts,
		Timeout: durationpb.New(callerTime), Objective: durationpb.New(objective),
	}
}

// processSettings returns the settings file of a node's process.
func (f *fleet) processSettings(i int) string {
	return fmt.Sprintf(`vm: vm-%d
data_centre: %s
ingress_address: %q
ready_address: %q
peer_address: %q
admin_address: %q
local_server: {service: %s, address: %q}
store: {address: %q, reads_per_second: 2000, history: 20s}
bounds: {drain: 2s, grace: %s, settings: 2s, retry_ratio: %g, retry_window: %s, retry_slack: %g, address_reuse: 2s}
seed_peers: [%q, %q]
`,
		i, dataCentre,
		f.address(ownBase, i, portCallers), f.address(ownBase, i, portReady),
		f.address(ownBase, i, portPeers), f.address(ownBase, i, portAdmin),
		service, f.address(linkBase, i, portServer), f.address(storeBase, i, portStore),
		graceTime, budgetRatio, budgetWindow, budgetSlack,
		f.address(linkBase, 0, portPeers), f.address(linkBase, 1, portPeers))
}
