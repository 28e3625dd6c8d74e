// Package admin implements the HTTP interface of a process for operators. It serves the
// state, the journal of decisions, the settings, the metrics and a trace of recent events.
package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/connlimit"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/ingress"
	"slatewind.example/slatewind/member"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/ratelimit"
	"slatewind.example/slatewind/sidecar"
	"slatewind.example/slatewind/usage"
)

// State is the state dump of a process.
type State struct {
	VM         string    `json:"vm"`
	DataCentre string    `json:"data_centre"`
	Version    string    `json:"program_version"`
	Time       time.Time `json:"time"`
	Settings   Settings  `json:"settings"`
	// Usage is what the process uses of its limited resources.
	Usage usage.Usage `json:"usage"`
	// Connections are those of callers.
	Connections *connlimit.View `json:"connections,omitempty"`
	PlatformAge string          `json:"platform_seen_ago"`
	Reader      bool            `json:"reads_platform"`
	Ingress     ingress.View    `json:"ingress"`
	Sidecar     sidecar.View    `json:"sidecar"`
	Members     []member.Entry  `json:"members"`
	// Outbound and Inbound are used instead of Ingress and Sidecar if the servers come from
	// the platform's store.
	Outbound *outbound.View `json:"outbound,omitempty"`
	Inbound  *inbound.View  `json:"inbound,omitempty"`
	// Known is the revision of the store up to which the process knows all servers.
	Known *slatewind.Revision `json:"known_revision,omitempty"`
	// Evacuated are the data centres whose servers get no requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// Limits are the workspaces whose rate limit tokens this process grants to the fleet.
	Limits []ratelimit.Use `json:"limits,omitempty"`
	// Suspects are the requests during which servers crashed.
	Suspects []quarantine.View `json:"suspects,omitempty"`
}

// Settings is the version of the settings file in force.
type Settings struct {
	VM       string    `json:"vm"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
	Since    time.Time `json:"since"`
}

// Sources supplies the data that the handler serves.
type Sources struct {
	State    func() State
	Settings func() Settings
	Journal  *history.Journal
	Metrics  http.Handler
	// Record returns the recent events as a YAML trace.
	Record func() ([]byte, error)
	// Ready reports whether the process can serve callers.
	Ready func() bool
}

// NewHandler returns the HTTP handler of the interface.
func NewHandler(s Sources) http.Handler {
	router := mux.NewRouter()
	router.Handle("/state", get(func(*http.Request) State { return s.State() })).Methods(http.MethodGet)
	router.Handle("/settings", get(func(*http.Request) Settings { return s.Settings() })).Methods(http.MethodGet)
	router.Handle("/journal", get(func(r *http.Request) []slatewind.Decision {
		query := r.URL.Query()
		return s.Journal.Find(history.Filter{
			Service: query.Get("service"), Server: query.Get("server"), Request: query.Get("request"),
		})
	})).Methods(http.MethodGet)
	router.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	router.HandleFunc("/record", s.record).Methods(http.MethodGet)
	router.HandleFunc("/ready", s.ready).Methods(http.MethodGet)
	return router
}

// get returns a handler that serves a value as indented JSON.
func get[T any](value func(*http.Request) T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(value(r))
	})
}

func (s Sources) record(w http.ResponseWriter, _ *http.Request) {
	trace, err := s.Record()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(trace)
}

func (s Sources) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
