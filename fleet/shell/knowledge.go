package shell

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/feed"
)

// oldAfterShare of the time in which changes must be known is the age from which on the log
// says that what is known is old: half of the bound is left to find out why.
const oldAfterShare = 0.5

// defaultOldAfter holds where no such time is stated: half of the least one known, 2 s.
const defaultOldAfter = time.Second

// oldAfter is the age from which on what is known is old.
func (n *Node) oldAfter() time.Duration {
	if within := n.options.Feed.Within; within > 0 {
		return time.Duration(float64(within) * oldAfterShare)
	}
	return defaultOldAfter
}

// noteKnowledge notes the age of what is known, and tells the log when that becomes old and
// when it is new again.
func (f *follower) noteKnowledge() {
	knownAt := f.feed.KnownAt()
	if knownAt.IsZero() {
		return
	}
	f.knownAt.Store(knownAt.UnixNano())
	age := f.Now().Sub(knownAt)
	switch old := age >= f.oldAfter(); {
	case old && f.oldSince.IsZero():
		f.oldSince = knownAt
		f.options.Log.Write(eventlog.KnowledgeOld{
			Age: age, Source: f.source.Load().(string), Revision: f.feed.Revision(), Late: f.lateness.Late(), Lost: f.lostBy,
		})
	case !old && !f.oldSince.IsZero():
		f.options.Log.Write(eventlog.KnowledgeNew{After: f.Now().Sub(f.oldSince), Source: f.source.Load().(string), Revision: f.feed.Revision()})
		f.oldSince = time.Time{}
	}
}

// mayTake says whether one more request may be taken. Beyond what the process carries, none
// is where it was late a moment ago and knows only what is old: it does not know what came
// meanwhile, and what it knows may be out of force. Callers go to another node for the second
// that it takes to catch up. A node that is not told anything though it works in time goes on
// serving, since callers may have no other.
func (n *Node) mayTake() (late time.Duration, may bool) {
	if late, may = n.lateness.Take(); !may {
		return late, false
	}
	age, old := n.knownAge(), n.oldAfter()
	if age >= old && n.lateness.LateWithin(old) {
		return age, false
	}
	return late, true
}

// knownAge is how old what is known of the store is, negative before the first reading.
func (n *Node) knownAge() time.Duration {
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

// The names of the figures of what a node knows of the store.
const (
	MetricKnownAge    = "valveslip_store_known_age_seconds"
	MetricKnownSource = "valveslip_store_known_source"
	MetricLateness    = "valveslip_lateness_seconds"
	LabelSource       = "source"
)

// knowledgeFigures shows how old what a node knows is, and from where it comes.
type knowledgeFigures struct {
	node              *Node
	age, source, late *prometheus.Desc
}

func newKnowledgeFigures(n *Node) *knowledgeFigures {
	return &knowledgeFigures{
		node:   n,
		age:    prometheus.NewDesc(MetricKnownAge, "How long ago the store was read last by whoever this node knows it from; -1 before the first reading.", nil, nil),
		source: prometheus.NewDesc(MetricKnownSource, "1 for where changes of the store are learned from.", []string{LabelSource}, nil),
		late:   prometheus.NewDesc(MetricLateness, "How late what is ready to run is carried out, by the last measurement.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (f *knowledgeFigures) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{f.age, f.source, f.late} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (f *knowledgeFigures) Collect(figures chan<- prometheus.Metric) {
	source := feed.SourceStore.String()
	if follower := f.node.follower.Load(); follower != nil {
		source = follower.source.Load().(string)
	}
	figures <- prometheus.MustNewConstMetric(f.age, prometheus.GaugeValue, f.node.knownAge().Seconds())
	figures <- prometheus.MustNewConstMetric(f.source, prometheus.GaugeValue, 1, source)
	figures <- prometheus.MustNewConstMetric(f.late, prometheus.GaugeValue, f.node.lateness.Late().Seconds())
}
