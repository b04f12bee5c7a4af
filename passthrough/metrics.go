package passthrough

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/verdict"
)

// Metrics counts the outcomes of requests.
type Metrics struct {
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	starts    *prometheus.CounterVec
	questions prometheus.Counter
	total     prometheus.Histogram
	queued    prometheus.Histogram
	firstByte prometheus.Histogram
}

// The names of the metrics on checks which start of a machine answers.
const (
	MetricStartChecks    = "valveslip_machine_start_checks_total"
	MetricStartQuestions = "valveslip_machine_start_questions_total"
)

// stageBuckets range from a short wait to the longest deadlines.
var stageBuckets = []float64{.005, .02, .05, .1, .15, .3, .6, 1, 1.5, 3, 6, 12, 25}

// NewMetrics returns metrics that are registered with the given registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: stageBuckets})
	}
	metrics := &Metrics{
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "valveslip_route_requests_total", Help: "Requests of routes by outcome."}, []string{"code"}),
		attempts:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "valveslip_route_failed_attempts_total", Help: "Failed attempts by class and verdict."}, []string{"code", "verdict"}),
		starts:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: MetricStartChecks, Help: "Checks which start of a machine answers on a connection, by outcome."}, []string{"outcome"}),
		questions: prometheus.NewCounter(prometheus.CounterOpts{Name: MetricStartQuestions, Help: "Questions to machines which start answers."}),
		total:     histogram("valveslip_route_request_seconds", "Time of requests of routes."),
		queued:    histogram("valveslip_route_queue_seconds", "Time that requests of routes waited."),
		firstByte: histogram("valveslip_route_first_byte_seconds", "Time to the first byte of an answer."),
	}
	registry.MustRegister(metrics.requests, metrics.attempts, metrics.starts, metrics.questions, metrics.total, metrics.queued, metrics.firstByte)
	return metrics
}

// requestEnded counts a request. It does nothing on a nil receiver.
func (m *Metrics) requestEnded(code string, took, waited, first time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(code).Inc()
	m.total.Observe(took.Seconds())
	m.queued.Observe(waited.Seconds())
	if first > 0 {
		m.firstByte.Observe(first.Seconds())
	}
}

// attemptFailed counts a failed attempt. It does nothing on a nil receiver.
func (m *Metrics) attemptFailed(failure *verdict.Error) {
	if m != nil {
		m.attempts.WithLabelValues(string(failure.Code), failure.Verdict.String()).Inc()
	}
}

// startChecked counts a check which start of a machine answers. It does nothing on a nil receiver.
func (m *Metrics) startChecked(outcome string, questions int) {
	if m != nil {
		m.starts.WithLabelValues(outcome).Inc()
		m.questions.Add(float64(questions))
	}
}
