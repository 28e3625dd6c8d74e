package metrics_test

import (
	"errors"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/metrics"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/usage"
)

var (
	typeLine  = regexp.MustCompile(`(?m)^# TYPE (slatewind_\w+) (\w+)$`)
	labelName = regexp.MustCompile(`[{,](\w+)="`)
	nameCell  = regexp.MustCompile("^`(slatewind_\\w+)`$")
)

// scrape records a value with each instrument and returns the metrics in Prometheus format.
func scrape(t *testing.T) string {
	t.Helper()
	m, err := metrics.New()
	assert.NilError(t, err)
	m.Request("pay", slatewind.OutcomeNotRun, time.Second)
	m.Workspace("ws-1", outbound.AdmissionAllowed)
	m.Extra("shop", "retry")
	m.Denied("shop", "bound")
	m.Quarantined("shop")
	m.EntryIgnored("address")
	m.Surplus(backend.SurplusNoID)
	m.Traffic(link.PurposeReservation, link.DistanceNear, 100)
	m.Dropped("shop", "late")
	m.Decision(slatewind.DecisionRefuse)
	m.PlatformCall("servers", errors.New("unreachable"))
	assert.NilError(t, m.ObserveUsage(func() usage.Usage { return usage.Read(usage.Limits{}) }))
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	return answer.Body.String()
}

// row is a row of the table of metrics in docs/OPERATIONS.md.
type row struct{ kind, labels string }

// documented reads the table of metrics in docs/OPERATIONS.md, by metric name.
func documented(t *testing.T) map[string]row {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	rows := map[string]row{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 6 {
			continue
		}
		if name := nameCell.FindStringSubmatch(strings.TrimSpace(cells[1])); name != nil {
			rows[name[1]] = row{kind: cells[2], labels: cells[3]}
		}
	}
	return rows
}

// TestMetricsAreDocumented: the table in docs/OPERATIONS.md has exactly the metrics that are exported, with
// their type and all of their labels.
func TestMetricsAreDocumented(t *testing.T) {
	exported, rows := scrape(t), documented(t)
	for _, found := range typeLine.FindAllStringSubmatch(exported, -1) {
		name, kind := found[1], found[2]
		r, ok := rows[name]
		assert.Check(t, ok, "%s is not documented", name)
		assert.Check(t, strings.Contains(r.kind, kind), "%s is a %s", name, kind)
		for _, label := range labelsOf(exported, name) {
			assert.Check(t, strings.Contains(r.labels, "`"+label+"`"), "%s: label %s is not documented", name, label)
		}
		delete(rows, name)
	}
	assert.Equal(t, len(rows), 0, "documented, but not exported: %v", rows)
}

// labelsOf returns the label names of a metric's samples, without those that the exporter adds.
func labelsOf(exported, name string) []string {
	var labels []string
	for line := range strings.Lines(exported) {
		if !strings.HasPrefix(line, name+"{") && !strings.HasPrefix(line, name+"_count{") {
			continue
		}
		for _, found := range labelName.FindAllStringSubmatch(line, -1) {
			if label := found[1]; !strings.HasPrefix(label, "otel_scope_") {
				labels = append(labels, label)
			}
		}
	}
	return labels
}
