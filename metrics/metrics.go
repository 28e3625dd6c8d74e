// Package metrics counts what the process does, with OpenTelemetry, and serves
// the figures in Prometheus format.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/outbound"
)

// Error is the class of errors of this package.
var Error = errs.Class("metrics")

// Metrics holds the instruments of one process.
type Metrics struct {
	handler   http.Handler
	requests  metric.Int64Counter
	duration  metric.Float64Histogram
	extras    metric.Int64Counter
	dropped   metric.Int64Counter
	decisions metric.Int64Counter
	platform  metric.Int64Counter
	denied    metric.Int64Counter
	traffic   metric.Int64Counter
	entries   metric.Int64Counter
	workspace metric.Int64Counter
	refused   metric.Int64Counter
}

// New returns the instruments of a process.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("slatewind")
	m := &Metrics{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	var group errs.Group
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description))
		group.Add(err)
		return c
	}
	m.requests = counter("slatewind.requests", "Callers' requests by route and outcome.")
	m.extras = counter("slatewind.extra_attempts", "Retries, hedges and hand-overs by service.")
	m.dropped = counter("slatewind.dropped_replies", "Replies that were late, crossed or not whole.")
	m.decisions = counter("slatewind.decisions", "Entries of the journal by kind.")
	m.platform = counter("slatewind.platform_calls", "Calls to the platform by kind and result.")
	m.denied = counter("slatewind.extra_attempts_denied", "Extra attempts that were not made, by service and cause.")
	m.traffic = counter("slatewind.peer_bytes", "Bytes of messages between processes, by purpose and distance.")
	m.entries = counter("slatewind.ignored_entries", "Entries in the platform's store that name no server, by the first field that is wrong.")
	m.workspace = counter("slatewind.workspace_requests", "Requests that need a key, by workspace (those with the highest rates) and what was decided about the sender.")
	m.refused = counter("slatewind.quarantined_requests", "Requests that were refused since servers ended while they ran them, by service.")
	m.duration, err = meter.Float64Histogram("slatewind.request.duration",
		metric.WithDescription("Time from a request's arrival to its final answer."), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(.001, .002, .004, .008, .016, .032, .064, .125, .25, .5, 1, 2, 4))
	group.Add(err)
	return m, Error.Wrap(group.Err())
}

// Handler serves the figures in Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Request counts a caller's request.
func (m *Metrics) Request(route string, outcome slatewind.Outcome, took time.Duration) {
	ctx := context.Background()
	labels := metric.WithAttributes(attribute.String("route", route), attribute.String("outcome", string(outcome)))
	m.requests.Add(ctx, 1, labels)
	m.duration.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// Workspace counts a request that needs a key, by what was decided about its sender.
func (m *Metrics) Workspace(name string, admission outbound.Admission) {
	m.workspace.Add(context.Background(), 1, metric.WithAttributes(attribute.String("workspace", name), attribute.String("admission", string(admission))))
}

// Extra counts a retry, a hedge or a hand-over.
func (m *Metrics) Extra(service, why string) {
	m.extras.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("why", why)))
}

// Denied counts an extra attempt that was not made.
func (m *Metrics) Denied(service, cause string) {
	m.denied.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("cause", cause)))
}

// Quarantined counts a request that was refused since servers ended under it.
func (m *Metrics) Quarantined(service string) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// EntryIgnored counts an entry in the platform's store that names no server.
func (m *Metrics) EntryIgnored(field string) {
	m.entries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("field", field)))
}

// Traffic implements link.TrafficMeter.
func (m *Metrics) Traffic(purpose link.Purpose, distance link.Distance, bytes int) {
	m.traffic.Add(context.Background(), int64(bytes), metric.WithAttributes(
		attribute.String("purpose", string(purpose)), attribute.String("distance", string(distance))))
}

// Dropped counts a reply that was not passed on.
func (m *Metrics) Dropped(service, why string) {
	m.dropped.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("why", why)))
}

// Decision counts an entry of the journal.
func (m *Metrics) Decision(kind slatewind.DecisionKind) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", string(kind))))
}

// PlatformCall counts a call to the platform.
func (m *Metrics) PlatformCall(what string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.platform.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", what), attribute.String("result", result)))
}
