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
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/metrics"
	"slatewind.example/slatewind/outbound"
)

var (
	typeLine   = regexp.MustCompile(`(?m)^# TYPE (slatewind_\w+) (\w+)$`)
	labelName  = regexp.MustCompile(`[{,](\w+)="`)
	listedName = regexp.MustCompile("^`(slatewind_\\w+)`$")
)

// scrape uses each instrument once and returns the figures in Prometheus format.
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
	m.Traffic(link.PurposeReservation, link.DistanceNear, 100)
	m.Dropped("shop", "late")
	m.Decision(slatewind.DecisionRefuse)
	m.PlatformCall("servers", errors.New("unreachable"))
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	return answer.Body.String()
}

// row is a line of the operators' table.
type row struct{ sort, labels string }

// listed reads the operators' table of metrics.
func listed(t *testing.T) map[string]row {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	rows := map[string]row{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 6 {
			continue
		}
		if name := listedName.FindStringSubmatch(strings.TrimSpace(cells[1])); name != nil {
			rows[name[1]] = row{sort: cells[2], labels: cells[3]}
		}
	}
	return rows
}

// TestMetricsAreListed: each metric stands in the operators' table with its sort and all of its labels, and nothing else does.
func TestMetricsAreListed(t *testing.T) {
	figures, rows := scrape(t), listed(t)
	for _, found := range typeLine.FindAllStringSubmatch(figures, -1) {
		name, sort := found[1], found[2]
		r, ok := rows[name]
		assert.Check(t, ok, "%s is not listed", name)
		assert.Check(t, strings.Contains(r.sort, sort), "%s is a %s", name, sort)
		for _, label := range labelsOf(figures, name) {
			assert.Check(t, strings.Contains(r.labels, "`"+label+"`"), "%s: label %s is not listed", name, label)
		}
		delete(rows, name)
	}
	assert.Equal(t, len(rows), 0, "listed, but there is no such metric: %v", rows)
}

// labelsOf returns the names of the labels of a metric's samples, without those of the exporter.
func labelsOf(figures, name string) []string {
	var labels []string
	for line := range strings.Lines(figures) {
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
