package check

import (
	"fmt"
	"time"
)

// Tolerances of the checks. They are several times what an idle machine needs, so that
// a machine that is busy with other work causes no false breach.
const (
	// recoveryGrace is how long after a disturbance a node is exempt from checks that depend on
	// time.
	recoveryGrace = 4 * time.Second
	// answerSlack is how long after its deadline a request may still be answered.
	answerSlack = 5 * time.Second
	// poisonSlack is added to the time within which all nodes must know of a harmful request.
	poisonSlack = 4 * time.Second
	// stopSlack is how long after the end of its grace period a stopping process may
	// still end.
	stopSlack = 3 * time.Second
	// maxReadTime is how long a node may take to read what a caller sent.
	maxReadTime = time.Second
)

// Promise is the text of a property that must hold in every run.
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
	PromiseBrittle       Promise = "brittle workers do not fall one after the other"
	PromisePart          Promise = "a part of prompts that ends workers is held back by all nodes"
	PromiseBesidePart    Promise = "requests beside a part that ends workers are served"
	PromiseSkew          Promise = "a node that most callers come to serves them"
	PromiseRelease       Promise = "streams hold events of one software version"
	PromiseResumed       Promise = "resumed streams go on as new ones begin"
	PromiseAfterKill     Promise = "streams go on after all nodes were killed"
	PromisePath          Promise = "nodes without a path to workers serve their callers"
)

// Breach is one observation that breaks a promise.
type Breach struct {
	Promise Promise `json:"promise"`
	// Subject is the request identifier, worker or node concerned.
	Subject string        `json:"subject"`
	At      time.Duration `json:"at"`
	Detail  string        `json:"detail"`
}

// String formats the breach on one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s: %s at %s: %s", b.Promise, b.Subject, b.At.Round(time.Millisecond), b.Detail)
}

// Finding is the result of one check.
type Finding struct {
	Promise Promise `json:"promise"`
	// Judged is the number of observations that the check evaluated; those excused by a
	// disturbance are not counted. MinCases is the number required for a meaningful result,
	// and zero if nothing in the run tested the promise.
	Judged   int      `json:"judged"`
	MinCases int      `json:"least"`
	Breaches []Breach `json:"breaches,omitempty"`
}

// NotJudged reports whether the promise was tested but too few observations could be
// evaluated.
func (f *Finding) NotJudged() bool { return f.Judged < f.MinCases }

// record counts an evaluated observation. A non-empty detail records it as a breach.
func (f *Finding) record(subject string, at time.Duration, detail string) {
	f.Judged++
	if detail != "" {
		f.Breaches = append(f.Breaches, Breach{Promise: f.Promise, Subject: subject, At: at, Detail: detail})
	}
}

// promiseCheck is the check of one promise.
type promiseCheck struct {
	promise Promise
	check   func(*History, *Finding)
	// minJudged is the number of observations required if the history tests the promise.
	minJudged int
	// isTested reports whether the history contains what tests the promise; nil means that
	// it always does.
	isTested func(*History) bool
}

// Minimum numbers of observations, for checks with many, some and few of them. In a run of 30 s
// callers send 12 requests per second to each node, a new configuration version is written
// every 4 s, and a worker leaves while nothing is disturbed. The minimums are at most a tenth of
// what such a run yields with four nodes.
const (
	minJudgedMany = 100
	minJudgedSome = 30
	minJudgedFew  = 1
)

// checks lists all checks in the order in which they are reported.
var checks = []promiseCheck{
	{PromiseOnce, checkRunsOnce, minJudgedSome, nil},
	{PromiseNeverRun, checkRefusedNeverRuns, minJudgedFew, (*History).hasRefusals},
	{PromiseWhole, checkAnswers, minJudgedMany, nil},
	{PromiseStream, checkStreams, minJudgedSome, nil},
	{PromiseHolder, checkSingleHolder, minJudgedFew, nil},
	{PromiseMemory, checkMemory, minJudgedFew, nil},
	{PromiseLoads, checkLoadRate, minJudgedFew, nil},
	{PromiseLeaving, checkLeavingWorkers, minJudgedSome, (*History).hasLeavings},
	{PromiseLeavingAnswer, checkLeavingAnswers, minJudgedFew, (*History).hasDueLeavingAnswer},
	{PromiseRest, checkBackoffs, minJudgedFew, (*History).hasJudgeableBackoff},
	{PromiseConfiguration, checkConfigurationDelay, minJudgedSome, nil},
	{PromiseForward, checkConfigurationOrder, minJudgedMany, nil},
	{PromiseStop, checkStopCompletesRequests, minJudgedFew, (*History).hasUndisturbedStop},
	{PromiseLeave, checkStopEndsConnections, minJudgedFew, (*History).hasUndisturbedStop},
	{PromiseStopEnds, checkStopDuration, minJudgedFew, (*History).hasUndisturbedStop},
	{PromiseAnswer, checkAnswerDeadlines, minJudgedMany, nil},
	{PromiseLives, checkUnexpectedExits, 0, nil},
	{PromiseRecovery, checkRecovery, minJudgedFew, nil},
	{PromisePoison, checkPoisonContainment, minJudgedFew, (*History).hasPoisonAfterBound},
	{PromiseBystanders, checkBystanders, minJudgedFew, (*History).hasDueAcquittal},
	{PromiseKeys, checkRevokedKeys, minJudgedFew, (*History).hasKeys},
	{PromiseLimit, checkTenantLimit, minJudgedSome, (*History).hasKeys},
	{PromiseWorkerLimit, checkWorkerLimits, minJudgedFew, (*History).hasWorkerLimit},
	{PromiseBrittle, checkFalls, minJudgedFew, (*History).hasBrittleTime},
	{PromisePart, checkHarmfulPart, 0, nil},
	{PromiseBesidePart, checkBesidePart, 0, nil},
	{PromiseSkew, checkSkews, 0, nil},
	{PromiseRelease, checkStreamReleases, 0, nil},
	{PromiseResumed, checkResumedStreams, 0, nil},
	{PromiseAfterKill, checkStreamsAfterKill, 0, nil},
	{PromisePath, checkPartitions, minJudgedFew, (*History).hasJudgeablePartition},
}

// Judge runs every check on a history.
func Judge(h *History) []Finding {
	findings := make([]Finding, 0, len(checks))
	for _, entry := range checks {
		finding := Finding{Promise: entry.promise}
		entry.check(h, &finding)
		if entry.isTested == nil || entry.isTested(h) {
			finding.MinCases = entry.minJudged
		}
		findings = append(findings, finding)
	}
	return findings
}

// NotJudged returns the promises that were tested but have too few evaluated observations
// for a result.
func NotJudged(findings []Finding) []Promise {
	var promises []Promise
	for i := range findings {
		if findings[i].NotJudged() {
			promises = append(promises, findings[i].Promise)
		}
	}
	return promises
}

// Breaches returns the breaches of all findings.
func Breaches(findings []Finding) []Breach {
	var breaches []Breach
	for i := range findings {
		breaches = append(breaches, findings[i].Breaches...)
	}
	return breaches
}
