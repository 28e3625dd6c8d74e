// Package metrics holds the OpenTelemetry instruments of a process and exports them in
// Prometheus format.
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
	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/usage"
)

// Error is the class of errors of this package.
var Error = errs.Class("metrics")

// Metrics holds the instruments of one process.
type Metrics struct {
	handler   http.Handler
	meter     metric.Meter
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
	surplus   metric.Int64Counter
}

// New returns the instruments of a process.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("slatewind")
	m := &Metrics{meter: meter, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	var group errs.Group
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description))
		group.Add(err)
		return c
	}
	m.requests = counter("slatewind.requests", "Requests of callers, by route and outcome.")
	m.extras = counter("slatewind.extra_attempts", "Retries, hedges and hand-overs, by service and kind.")
	m.dropped = counter("slatewind.dropped_replies", "Replies discarded since they were late, belonged to another attempt or were corrupt, by service and reason.")
	m.decisions = counter("slatewind.decisions", "Decisions in the journal, by kind.")
	m.platform = counter("slatewind.platform_calls", "Calls to the platform, by kind and result.")
	m.denied = counter("slatewind.extra_attempts_denied", "Retries, hedges and hand-overs that were not made, by service and cause.")
	m.traffic = counter("slatewind.peer_bytes", "Bytes of messages between processes, by purpose and distance.")
	m.entries = counter("slatewind.ignored_entries", "Invalid server entries in the platform's store that were ignored, by the first invalid field.")
	m.workspace = counter("slatewind.workspace_requests", "Requests that require a workspace key, by workspace (those with the highest rate limits) and admission.")
	m.refused = counter("slatewind.quarantined_requests", "Requests refused by quarantine since servers crashed while running them, by service.")
	m.surplus = counter("slatewind.surplus_answers", "Answers and bytes of the server beside the process that are not known to belong to the request on their connection, by kind.")
	m.duration, err = meter.Float64Histogram("slatewind.request.duration",
		metric.WithDescription("Time from the arrival of a request to its final answer."), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(.001, .002, .004, .008, .016, .032, .064, .125, .25, .5, 1, 2, 4))
	group.Add(err)
	return m, Error.Wrap(group.Err())
}

// Handler returns the handler that serves the metrics in Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Request counts a request of a caller and records its duration.
func (m *Metrics) Request(route string, outcome slatewind.Outcome, took time.Duration) {
	ctx := context.Background()
	labels := metric.WithAttributes(attribute.String("route", route), attribute.String("outcome", string(outcome)))
	m.requests.Add(ctx, 1, labels)
	m.duration.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// Workspace counts a request that requires a workspace key, by its admission.
func (m *Metrics) Workspace(name string, admission outbound.Admission) {
	m.workspace.Add(context.Background(), 1, metric.WithAttributes(attribute.String("workspace", name), attribute.String("admission", string(admission))))
}

// Extra counts a retry, a hedge or a hand-over.
func (m *Metrics) Extra(service, why string) {
	m.extras.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("why", why)))
}

// Denied counts a retry, hedge or hand-over that was not made.
func (m *Metrics) Denied(service, cause string) {
	m.denied.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("cause", cause)))
}

// Quarantined counts a request that was refused since servers crashed while running it.
func (m *Metrics) Quarantined(service string) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// Surplus implements inbound.Meter.
func (m *Metrics) Surplus(kind backend.SurplusKind) {
	m.surplus.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", string(kind))))
}

// EntryIgnored counts an invalid server entry in the platform's store; field is the first
// invalid one.
func (m *Metrics) EntryIgnored(field string) {
	m.entries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("field", field)))
}

// Traffic implements link.TrafficMeter.
func (m *Metrics) Traffic(purpose link.Purpose, distance link.Distance, bytes int) {
	m.traffic.Add(context.Background(), int64(bytes), metric.WithAttributes(
		attribute.String("purpose", string(purpose)), attribute.String("distance", string(distance))))
}

// Dropped counts a reply that was discarded.
func (m *Metrics) Dropped(service, why string) {
	m.dropped.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("why", why)))
}

// Decision counts a decision in the journal.
func (m *Metrics) Decision(kind slatewind.DecisionKind) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", string(kind))))
}

// PlatformCall counts a call to the platform; call is its kind and err its result.
func (m *Metrics) PlatformCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.platform.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("result", result)))
}

// ObserveUsage exports what the process uses of its limited resources. read is called at each scrape.
func (m *Metrics) ObserveUsage(read func() usage.Usage) error {
	var group errs.Group
	newGauge := func(name, description string, value func(usage.Usage) int64) gauge {
		instrument, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description))
		group.Add(err)
		return gauge{instrument, value}
	}
	gauges := []gauge{
		newGauge("slatewind.memory", "Memory that the runtime holds, in bytes.", func(u usage.Usage) int64 { return u.MemoryBytes }),
		newGauge("slatewind.peak_memory", "Largest resident memory since the start, in bytes.", func(u usage.Usage) int64 { return u.PeakBytes }),
		newGauge("slatewind.memory_limit", "Memory that the process may use, in bytes; 0 if not known.", func(u usage.Usage) int64 { return u.MemoryLimitBytes }),
		newGauge("slatewind.descriptors", "Open file descriptors.", func(u usage.Usage) int64 { return int64(u.Descriptors) }),
		newGauge("slatewind.descriptor_limit", "File descriptors that the process may use.", func(u usage.Usage) int64 { return int64(u.DescriptorLimit) }),
		newGauge("slatewind.goroutines", "Goroutines.", func(u usage.Usage) int64 { return int64(u.Goroutines) }),
	}
	if err := group.Err(); err != nil {
		return Error.Wrap(err)
	}
	observe := func(_ context.Context, o metric.Observer) error {
		used := read()
		for _, g := range gauges {
			o.ObserveInt64(g.instrument, g.value(used))
		}
		return nil
	}
	_, err := m.meter.RegisterCallback(observe, instruments(gauges)...)
	return Error.Wrap(err)
}

// gauge is an instrument with the part of the usage that it shows.
type gauge struct {
	instrument metric.Int64ObservableGauge
	value      func(usage.Usage) int64
}

func instruments(gauges []gauge) []metric.Observable {
	list := make([]metric.Observable, len(gauges))
	for i, g := range gauges {
		list[i] = g.instrument
	}
	return list
}
