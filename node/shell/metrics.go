package shell

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/valveslip/valveslip/api"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// outcomeServed is the outcome label of requests whose complete answer was relayed.
const outcomeServed = "served"

// metrics are the node's Prometheus metrics.
type metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	duration         *prometheus.HistogramVec
	firstByte        *prometheus.HistogramVec
	queueWait        prometheus.Histogram
	relayDuration    prometheus.Histogram
	attempts         prometheus.Counter
	tokens           prometheus.Counter
	settingsRevision prometheus.Gauge
	calls            *prometheus.HistogramVec
}

// latencyBuckets, in seconds, range from a request to a loaded replica to a cold start
// with weights from a remote store.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 1.5, 2.5, 5, 10, 20, 40, 80, 160}

// relayBuckets, in seconds, cover the node's own processing time and callers that read
// slowly.
var relayBuckets = []float64{.00005, .0001, .0002, .0003, .0005, .001, .002, .005, .01, .05, .25, 1, 5, 30}

// newMetrics creates and registers the metrics of one node.
func newMetrics(self cluster.Node, node prometheus.Collector) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	constant := prometheus.Labels{"zone": string(self.Zone)}
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Name: name, Help: help, ConstLabels: constant}
	}
	histogram := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Name: name, Help: help, ConstLabels: constant, Buckets: latencyBuckets}
	}
	m.requests = prometheus.NewCounterVec(counter("valveslip_requests_total", "Ended requests by outcome, a verdict code or served, and HTTP status."), []string{"outcome", "status"})
	m.duration = prometheus.NewHistogramVec(histogram("valveslip_request_duration_seconds", "Time from a request's header to its end."), []string{"outcome"})
	m.firstByte = prometheus.NewHistogramVec(histogram("valveslip_first_byte_seconds", "Time from submission to the first byte of the answer, by whether the request had to wait for a replica."), []string{"start"})
	m.queueWait = prometheus.NewHistogram(histogram("valveslip_queue_wait_seconds", "Time a dispatched request waited for dispatch, all attempts together."))
	relayed := histogram("valveslip_relay_seconds", "Time of a served request that was neither waiting for dispatch nor for an engine.")
	relayed.Buckets = relayBuckets
	m.relayDuration = prometheus.NewHistogram(relayed)
	m.attempts = prometheus.NewCounter(counter("valveslip_attempts_total", "Dispatches to engines."))
	m.tokens = prometheus.NewCounter(counter("valveslip_tokens_total", "Generated tokens relayed."))
	m.settingsRevision = prometheus.NewGauge(prometheus.GaugeOpts{Name: "valveslip_settings_revision", Help: "Settings revision in force.", ConstLabels: constant})
	m.calls = prometheus.NewHistogramVec(histogram("valveslip_call_duration_seconds", "Calls to the platform and to engines' control API by target and result, an error code or ok."), []string{"target", "result"})
	m.registry.MustRegister(m.calls, m.requests, m.duration, m.firstByte, m.queueWait, m.relayDuration, m.attempts, m.tokens, m.settingsRevision,
		node, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Values of the target label of calls.
const (
	targetKeyValue = "key-value"
	targetEngine   = "engine"
	targetMachines = "machine-list"
	targetWeights  = "weight-store"
)

// resultOK is the result label of calls without an error.
const resultOK = "ok"

// observeCall records one call that started at the given time.
func (m *metrics) observeCall(target string, start time.Time, err error) {
	result := resultOK
	if err != nil {
		result = string(verdict.CodeOf(err))
	}
	m.calls.WithLabelValues(target, result).Observe(time.Since(start).Seconds())
}

// coldStartThresholdSeconds is the queue wait above which a request counts as having
// waited for a replica.
const coldStartThresholdSeconds = 0.05

// observeRequest records one completed request.
func (m *metrics) observeRequest(outcome api.Outcome) {
	name := outcomeServed
	result := &outcome.Result
	if result.Failure != nil {
		name = string(result.Failure.Code)
	}
	m.requests.WithLabelValues(name, strconv.Itoa(outcome.Status)).Inc()
	m.duration.WithLabelValues(name).Observe(outcome.Total.Seconds())
	m.attempts.Add(float64(result.Attempts))
	m.tokens.Add(float64(result.Tokens))
	if result.Attempts > 0 {
		m.queueWait.Observe(result.DecisionWait.Seconds())
	}
	if result.Failure == nil {
		m.relayDuration.Observe((outcome.Total - result.DecisionWait - result.EngineTime).Seconds())
	}
	if result.Started {
		start := "warm"
		if result.DecisionWait.Seconds() > coldStartThresholdSeconds {
			start = "cold"
		}
		m.firstByte.WithLabelValues(start).Observe(result.FirstByte.Seconds())
	}
}
