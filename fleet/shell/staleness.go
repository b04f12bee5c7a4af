package shell

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/feed"
)

// staleAfterShare is the share of the maximum delay of changes (feed.Config.MaxChangeDelay) from
// which the view of the store is logged as stale: the remaining half of the delay is left to find
// the cause.
const staleAfterShare = 0.5

// defaultStaleAfter applies if no maximum delay is configured: half of the smallest known
// maximum, 2 s.
const defaultStaleAfter = time.Second

// staleAfter returns the age from which the node's view of the store counts as stale.
func (n *Node) staleAfter() time.Duration {
	if within := n.options.Feed.MaxChangeDelay; within > 0 {
		return time.Duration(float64(within) * staleAfterShare)
	}
	return defaultStaleAfter
}

// updateStaleness records the age of the node's view of the store and logs when it becomes stale
// and when it is fresh again.
func (f *follower) updateStaleness() {
	knownAt := f.feed.KnownAt()
	if knownAt.IsZero() {
		return
	}
	f.knownAt.Store(knownAt.UnixNano())
	age := f.Now().Sub(knownAt)
	switch stale := age >= f.staleAfter(); {
	case stale && f.staleSince.IsZero():
		f.staleSince = knownAt
		f.options.Log.Write(eventlog.KnowledgeOld{
			Age: age, Source: f.source.Load().(string), Revision: f.feed.Revision(), Late: f.schedulingDelay.Lateness(), Lost: f.storeCalls.cause(),
		})
	case !stale && !f.staleSince.IsZero():
		f.options.Log.Write(eventlog.KnowledgeNew{After: f.Now().Sub(f.staleSince), Source: f.source.Load().(string), Revision: f.feed.Revision()})
		f.staleSince = time.Time{}
	}
}

// admitRequest reports whether one more request may be admitted, and how late the process works.
// A request is rejected if the process is overloaded. It is also rejected if the process was
// overloaded a moment ago and its view of the store is stale: the node does not know what changed
// meanwhile, and what it knows may be outdated. Callers go to another node for the second that
// catching up takes. A node that is not overloaded but gets no updates goes on serving, since its
// callers may have no other node.
func (n *Node) admitRequest() (late time.Duration, admitted bool) {
	if late, admitted = n.schedulingDelay.Admit(); !admitted {
		return late, false
	}
	age, staleLimit := n.storeViewAge(), n.staleAfter()
	if age >= staleLimit && n.schedulingDelay.LateWithin(staleLimit) {
		return age, false
	}
	return late, true
}

// storeViewAge returns the age of the node's view of the store; negative before the first read.
func (n *Node) storeViewAge() time.Duration {
	f := n.follower.Load()
	if f == nil {
		return -time.Second
	}
	knownAt := f.knownAt.Load()
	if knownAt == 0 {
		return -time.Second
	}
	return n.Now().Sub(time.Unix(0, knownAt))
}

// viewIsStale reports whether the node's view of the store is older than usual.
func (n *Node) viewIsStale() bool { return n.storeViewAge() >= n.staleAfter() }

// entryDelay is the longest time until a machine that has started writes its entry while the store takes it: the
// time between two heartbeats, with one that is lost.
const entryDelay = 2500 * time.Millisecond

// entriesInclude implements passthrough.Config.EntriesInclude.
func (n *Node) entriesInclude(listened time.Duration) bool {
	age := n.storeViewAge()
	return age >= 0 && listened-age >= entryDelay
}

// The names of the metrics on the node's view of the store, and their label.
const (
	MetricKnownAge    = "valveslip_store_known_age_seconds"
	MetricKnownSource = "valveslip_store_known_source"
	MetricStoreEra    = "valveslip_store_era"
	MetricLateness    = "valveslip_lateness_seconds"
	LabelSource       = "source"
)

// storeViewCollector exports the age, the era and the source of the node's view of the store, and the
// scheduling delay of the process.
type storeViewCollector struct {
	node                   *Node
	age, era, source, late *prometheus.Desc
}

func newStoreViewCollector(n *Node) *storeViewCollector {
	return &storeViewCollector{
		node:   n,
		age:    prometheus.NewDesc(MetricKnownAge, "How long ago the store was read last by whoever this node knows it from; -1 before the first reading.", nil, nil),
		era:    prometheus.NewDesc(MetricStoreEra, "The era of what is known of the store.", nil, nil),
		source: prometheus.NewDesc(MetricKnownSource, "1 for where changes of the store are learned from.", []string{LabelSource}, nil),
		late:   prometheus.NewDesc(MetricLateness, "How late what is ready to run is carried out, by the last measurement.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (f *storeViewCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{f.age, f.era, f.source, f.late} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (f *storeViewCollector) Collect(output chan<- prometheus.Metric) {
	source, era := feed.SourceStore.String(), int64(0)
	if follower := f.node.follower.Load(); follower != nil {
		source, era = follower.source.Load().(string), follower.era.Load()
	}
	output <- prometheus.MustNewConstMetric(f.era, prometheus.GaugeValue, float64(era))
	output <- prometheus.MustNewConstMetric(f.age, prometheus.GaugeValue, f.node.storeViewAge().Seconds())
	output <- prometheus.MustNewConstMetric(f.source, prometheus.GaugeValue, 1, source)
	output <- prometheus.MustNewConstMetric(f.late, prometheus.GaugeValue, f.node.schedulingDelay.Lateness().Seconds())
}
