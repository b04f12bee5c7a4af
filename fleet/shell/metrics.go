package shell

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/verdict"
)

// metrics counts the node's calls and exports its state.
type metrics struct {
	calls          *prometheus.CounterVec
	stalledCallers *prometheus.CounterVec
	// unreadableRecords counts the records in the store that can't be decoded.
	unreadableRecords *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer, n *Node) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "valveslip_calls_total", Help: "Calls to the store and to engines by outcome.",
		}, []string{"target", "outcome"}),
		stalledCallers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "valveslip_callers_stalled_total", Help: "Callers' connections that were ended because nothing more could be written to them.",
		}, []string{"cause"}),
		unreadableRecords: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "valveslip_records_unreadable_total", Help: "Entries and records of the store that could not be read, by kind.",
		}, []string{"kind"}),
	}
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	registry.MustRegister(m.calls, m.stalledCallers, m.unreadableRecords, newTenantCollector(n), newStoreViewCollector(n))
	gauge("valveslip_retained_bytes", "Bytes that are kept of requests and answers.", func() float64 { return float64(n.retained.Used()) })
	gauge("valveslip_retained_peak_bytes", "Most bytes that were kept of requests and answers at one time.", func() float64 { return float64(n.retained.Peak()) })
	gauge("valveslip_retained_limit_bytes", "Most bytes that may be kept of requests and answers.", func() float64 { return float64(n.retained.Limit()) })
	gauge("valveslip_retained_refused", "Requests and answers for which there was no room so far.", func() float64 { return float64(n.retained.Refused()) })
	gauge("valveslip_requests_in_flight", "Requests that have not ended.", func() float64 { return float64(n.inFlight()) })
	gauge("valveslip_configuration_version", "Version of the configuration in force.", func() float64 {
		if compiled := n.compiled.Load(); compiled != nil {
			return float64(compiled.Version)
		}
		return 0
	})
	gauge("valveslip_connections_opened", "Connections made to machines so far.", func() float64 { return float64(n.pool.Opened()) })
	gauge("valveslip_worker_path_state", "What this node believes of its path to workers: 0 connected, 1 suspected, 2 lost.", func() float64 { return float64(n.path.state()) })
	gauge("valveslip_log_lines_dropped", "Lines of the log that were dropped so far.", func() float64 { return float64(n.options.Log.Dropped()) })
	gauge("valveslip_store_loads_borne", "Loads at once that the weight store is believed to bear at full speed.", func() float64 {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.core == nil {
			return 0
		}
		return float64(n.core.StoreCapacity())
	})
	coreGauge := func(of func(core *fleet.Core) int) func() float64 {
		return func() float64 {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			if n.core == nil {
				return 0
			}
			return float64(of(n.core))
		}
	}
	gauge("valveslip_stream_origins", "Streams of which this node knows the release at which they began.", coreGauge((*fleet.Core).StreamOrigins))
	gauge("valveslip_nodes", "Nodes with a live record, this one included.", coreGauge(func(core *fleet.Core) int { return len(core.Nodes()) }))
	gauge("valveslip_workers", "Workers with an entry.", coreGauge((*fleet.Core).Machines))
	poisonGauge := func(of func(suspected, blocked int) int) func() float64 {
		return func() float64 {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			if n.core == nil {
				return 0
			}
			return float64(of(n.core.PoisonCounts()))
		}
	}
	gauge("valveslip_poison_requests", "Requests that are refused because machines ended under them.",
		poisonGauge(func(_, blocked int) int { return blocked }))
	gauge("valveslip_poison_suspects", "Requests under which machines ended, too few to refuse them.",
		poisonGauge(func(suspected, _ int) int { return suspected }))
	gauge("valveslip_keys_proof_age_seconds", "How old the proof is that callers' keys are those in force; -1 without one.", func() float64 {
		if age, proven := n.keyProofAge(); proven {
			return age.Seconds()
		}
		return -1
	})
	dispatchGauge := func(of func(c fleet.DispatchCounts) int) func() float64 {
		return func() float64 {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			if n.core == nil {
				return 0
			}
			return float64(of(n.core.DispatchCounts()))
		}
	}
	gauge("valveslip_dispatcher_questions", "Attempts at engines for which the dispatcher was asked so far.",
		dispatchGauge(func(c fleet.DispatchCounts) int { return c.Asked }))
	gauge("valveslip_dispatcher_unanswered", "Questions to dispatchers without an answer in time so far.",
		dispatchGauge(func(c fleet.DispatchCounts) int { return c.Unanswered }))
	gauge("valveslip_dispatcher_held", "Attempts that waited for their engine by the dispatcher's word so far.",
		dispatchGauge(func(c fleet.DispatchCounts) int { return c.Held }))
	gauge("valveslip_dispatcher_attempts", "Attempts of all nodes that this node knows as the dispatcher.",
		dispatchGauge(func(c fleet.DispatchCounts) int { return c.Known }))
	gauge("valveslip_shards_lent", "Shards of tenants of which this node lends the tokens.", func() float64 {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.core == nil {
			return 0
		}
		return float64(n.core.ShardsLent())
	})
	gauge("valveslip_holds_orders_lease", "1 while this node gives the orders.", func() float64 {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.core != nil && n.core.HoldsOrderLease() {
			return 1
		}
		return 0
	})
	return m
}

// countCall counts a call by its outcome.
func (m *metrics) countCall(target string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "not run"
		if verdict.Of(err) != verdict.NotRun {
			outcome = "no answer"
		}
	}
	m.calls.WithLabelValues(target, outcome).Inc()
}
