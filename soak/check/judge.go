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
	// poisonSlack is added to the time within which nodes know of a harmful request.
	poisonSlack = 4 * time.Second
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
	PromiseLeavingAnswer Promise = "a worker whose answer said that it leaves gets nothing more from that node"
	PromiseRest          Promise = "a worker that asked a node for rest gets it"
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
	PromiseWorkerLimit   Promise = "a worker that names a limit gets no more of all nodes"
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
	// Judged counts what could be judged, besides what a disturbance excused. Least is how
	// often that must be, zero where nothing tested the promise.
	Judged   int      `json:"judged"`
	Least    int      `json:"least"`
	Breaches []Breach `json:"breaches,omitempty"`
}

// NotJudged reports whether the promise was tested and yet judged too seldom.
func (f *Finding) NotJudged() bool { return f.Judged < f.Least }

// judge judges one more thing; a detail means that the promise is broken.
func (f *Finding) judge(subject string, at time.Duration, detail string) {
	f.Judged++
	if detail != "" {
		f.Breaches = append(f.Breaches, Breach{Promise: f.Promise, Subject: subject, At: at, Detail: detail})
	}
}

// checkOf is one promise's check.
type checkOf struct {
	promise Promise
	check   func(*History, *Finding)
	// least is how often the promise must be judged by a history that tests it.
	least int
	// tested reports whether what tests the promise came about; nil for always.
	tested func(*History) bool
}

// What a run that lasts half a minute shows in any case: callers send 12 requests a second to
// each node, versions come every 4 s, and a worker leaves while nothing is out of order. The
// leasts are a tenth or less of what such a run brings with four nodes.
const (
	leastOfMany = 100
	leastOfSome = 30
	leastOfFew  = 1
)

// checks are all checks, in the order of reports.
var checks = []checkOf{
	{PromiseOnce, ranOnce, leastOfSome, nil},
	{PromiseNeverRun, neverRan, leastOfFew, (*History).anyRefused},
	{PromiseWhole, wholeAnswers, leastOfMany, nil},
	{PromiseStream, wholeStreams, leastOfSome, nil},
	{PromiseHolder, oneHolder, leastOfFew, nil},
	{PromiseMemory, memoryKept, leastOfFew, nil},
	{PromiseLoads, loadsKept, leastOfFew, nil},
	{PromiseLeaving, leftAlone, leastOfSome, (*History).anyLeft},
	{PromiseLeavingAnswer, leavingAnswersKept, leastOfFew, (*History).anyLeavingTold},
	{PromiseRest, restsKept, leastOfFew, (*History).anyTurned},
	{PromiseConfiguration, configuredInTime, leastOfSome, nil},
	{PromiseForward, neverBack, leastOfMany, nil},
	{PromiseStop, nothingCut, leastOfFew, (*History).stopsInPeace},
	{PromiseLeave, connectionsLeft, leastOfFew, (*History).stopsInPeace},
	{PromiseStopEnds, stopsEnd, leastOfFew, (*History).stopsInPeace},
	{PromiseAnswer, answeredInTime, leastOfMany, nil},
	{PromiseLives, nobodyEnds, 0, nil},
	{PromiseRecovery, recovered, leastOfFew, nil},
	{PromisePoison, poisonHeldBack, leastOfFew, (*History).poisonTold},
	{PromiseBystanders, bystandersTaken, leastOfFew, (*History).acquittalDue},
	{PromiseKeys, keysTaken, leastOfFew, (*History).keyed},
	{PromiseLimit, limitKept, leastOfSome, (*History).keyed},
	{PromiseWorkerLimit, workerLimitsKept, leastOfFew, (*History).anyWorkerLimit},
}

// Judge runs every check.
func Judge(h *History) []Finding {
	findings := make([]Finding, 0, len(checks))
	for _, entry := range checks {
		finding := Finding{Promise: entry.promise}
		entry.check(h, &finding)
		if entry.tested == nil || entry.tested(h) {
			finding.Least = entry.least
		}
		findings = append(findings, finding)
	}
	return findings
}

// NotJudged lists the promises that were tested and judged less often than a history of such
// a run allows: it says nothing of them.
func NotJudged(findings []Finding) []Promise {
	var promises []Promise
	for i := range findings {
		if findings[i].NotJudged() {
			promises = append(promises, findings[i].Promise)
		}
	}
	return promises
}

// Breaches gathers the breaches of all findings.
func Breaches(findings []Finding) []Breach {
	var breaches []Breach
	for i := range findings {
		breaches = append(breaches, findings[i].Breaches...)
	}
	return breaches
}
