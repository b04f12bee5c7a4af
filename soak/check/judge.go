package check

import (
	"fmt"
	"time"
)

// Slack of the checks: several times what a quiet machine needs, so that one that
// is busy with other work raises no alarm.
const (
	// settling is how long after a disturbance a node is not judged by time.
	settling = 4 * time.Second
	// answerSlack is how long after its deadline a request may be answered.
	answerSlack = 5 * time.Second
	// boundSlack is added to the bounds of configuration and leaving workers.
	boundSlack = 4 * time.Second
	// stopSlack is how long after its grace time a stopping process may end, and
	// how long before the end of the grace time requests must have ended to count.
	stopSlack = 3 * time.Second
	// readTime is how long a node may take to read what a caller sent.
	readTime = time.Second
)

// Promise names what must hold.
type Promise string

// The promises.
const (
	PromiseOnce          Promise = "requests that may not be repeated run at most once"
	PromiseNeverRun      Promise = "a refused request never runs"
	PromiseWhole         Promise = "answers are whole and the request's own"
	PromiseStream        Promise = "streams lose, repeat and mix nothing"
	PromiseHolder        Promise = "one holder gives a worker orders, fences never go back"
	PromiseMemory        Promise = "no worker's memory is overfilled"
	PromiseLoads         Promise = "loads keep within the weight store's limit"
	PromiseLeaving       Promise = "leaving workers get no work after the bound"
	PromiseConfiguration Promise = "a configuration is in force in time"
	PromiseForward       Promise = "a configuration never goes back"
	PromiseStop          Promise = "planned stops cut nothing that was read"
	PromiseLeave         Promise = "planned stops end kept connections with an answer"
	PromiseStopEnds      Promise = "planned stops end in time and orderly"
	PromiseAnswer        Promise = "every request is answered in time"
	PromiseLives         Promise = "no process ends by itself"
	PromiseRecovery      Promise = "nodes serve again in time after the faults"
	PromisePoison        Promise = "a request that ends workers is held back by all nodes"
	PromiseBystanders    Promise = "what many ask for is not refused for long as harmful"
	PromiseKeys          Promise = "nothing runs under a key that was taken away for longer than the bound"
	PromiseLimit         Promise = "a tenant that floods gets no more than its limit over all nodes"
)

// Breach is a promise found broken.
type Breach struct {
	Promise Promise `json:"promise"`
	// Subject is a request's identifier, a worker or a node.
	Subject string        `json:"subject"`
	At      time.Duration `json:"at"`
	Detail  string        `json:"detail"`
}

// String is the breach in one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s: %s at %s: %s", b.Promise, b.Subject, b.At.Round(time.Millisecond), b.Detail)
}

// Finding is what one check found.
type Finding struct {
	Promise Promise `json:"promise"`
	// Judged counts what could be judged, besides what a disturbance excused.
	Judged   int      `json:"judged"`
	Breaches []Breach `json:"breaches,omitempty"`
}

// judge judges one more thing; a detail means that the promise is broken.
func (f *Finding) judge(subject string, at time.Duration, detail string) {
	f.Judged++
	if detail != "" {
		f.Breaches = append(f.Breaches, Breach{Promise: f.Promise, Subject: subject, At: at, Detail: detail})
	}
}

// Judge runs every check.
func Judge(h *History) []Finding {
	checks := []struct {
		promise Promise
		check   func(*History, *Finding)
	}{
		{PromiseOnce, ranOnce}, {PromiseNeverRun, neverRan}, {PromiseWhole, wholeAnswers}, {PromiseStream, wholeStreams},
		{PromiseHolder, oneHolder}, {PromiseMemory, memoryKept}, {PromiseLoads, loadsKept}, {PromiseLeaving, leftAlone},
		{PromiseConfiguration, configuredInTime}, {PromiseForward, neverBack}, {PromiseStop, nothingCut},
		{PromiseLeave, connectionsLeft}, {PromiseStopEnds, stopsEnd}, {PromiseAnswer, answeredInTime}, {PromiseLives, nobodyEnds}, {PromiseRecovery, recovered},
		{PromisePoison, poisonHeldBack}, {PromiseBystanders, bystandersTaken}, {PromiseKeys, keysTaken}, {PromiseLimit, limitKept},
	}
	findings := make([]Finding, 0, len(checks))
	for _, entry := range checks {
		finding := Finding{Promise: entry.promise}
		entry.check(h, &finding)
		findings = append(findings, finding)
	}
	return findings
}

// Breaches gathers the breaches of all findings.
func Breaches(findings []Finding) []Breach {
	var breaches []Breach
	for i := range findings {
		breaches = append(breaches, findings[i].Breaches...)
	}
	return breaches
}
