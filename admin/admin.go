// Package admin is the operators' HTTP interface of a process: its state, its
// journal, its settings, its metrics and its recent events.
package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/ingress"
	"slatewind.example/slatewind/member"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/ratelimit"
	"slatewind.example/slatewind/sidecar"
)

// State is the dump of one process.
type State struct {
	VM          string         `json:"vm"`
	DataCentre  string         `json:"data_centre"`
	Version     string         `json:"program_version"`
	Time        time.Time      `json:"time"`
	Settings    Settings       `json:"settings"`
	PlatformAge string         `json:"platform_seen_ago"`
	Reader      bool           `json:"reads_platform"`
	Ingress     ingress.View   `json:"ingress"`
	Sidecar     sidecar.View   `json:"sidecar"`
	Members     []member.Entry `json:"members"`
	// Outbound and Inbound stand in for Ingress and Sidecar where the platform's
	// store lists the servers.
	Outbound *outbound.View `json:"outbound,omitempty"`
	Inbound  *inbound.View  `json:"inbound,omitempty"`
	// Known is the store's revision up to which the process knows all servers.
	Known *slatewind.Revision `json:"known_revision,omitempty"`
	// Limits are the workspaces whose tokens this process gives to the fleet.
	Limits []ratelimit.Use `json:"limits,omitempty"`
	// Suspects are requests under which servers ended.
	Suspects []quarantine.View `json:"suspects,omitempty"`
}

// Settings tells which file is in force.
type Settings struct {
	VM       string    `json:"vm"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
	Since    time.Time `json:"since"`
}

// Sources is where the interface gets its answers.
type Sources struct {
	State    func() State
	Settings func() Settings
	Journal  *history.Journal
	Metrics  http.Handler
	// Record writes recent events as a trace.
	Record func() ([]byte, error)
	// Ready reports whether callers can be served.
	Ready func() bool
}

// NewHandler returns the interface's HTTP handler.
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

// get answers with the JSON form of a value.
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
