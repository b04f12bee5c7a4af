package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
)

// ModelReasons holds the reasons why a model is or is not loaded.
type ModelReasons struct {
	Model cluster.ModelID `json:"model"`
	Path  string          `json:"path"`
	// Text describes the decisions for operators, one line for each zone.
	Text     string            `json:"text"`
	Replicas []Replica         `json:"replicas"`
	Zones    []DecisionReasons `json:"zones"`
}

// DecisionReasons is the last decision of a zone's controller on a model.
type DecisionReasons struct {
	Zone     cluster.ZoneID `json:"zone"`
	Node     cluster.NodeID `json:"node"`
	At       time.Time      `json:"at"`
	Text     string         `json:"text"`
	Wanted   int            `json:"wanted"`
	Allowed  int            `json:"allowed"`
	Held     int            `json:"held"`
	Loaded   int            `json:"loaded"`
	NextWake time.Time      `json:"next_wake,omitzero"`
	Reason   Reason         `json:"reason"`
	Actions  []Action       `json:"actions,omitempty"`
}

// Reason is the recorded reason of a placement decision or action.
type Reason struct {
	Cause            string               `json:"cause"`
	Setting          string               `json:"setting,omitempty"`
	Source           string               `json:"source,omitempty"`
	IdleSeconds      float64              `json:"idle_seconds,omitempty"`
	KeepAliveSeconds float64              `json:"keep_alive_seconds,omitempty"`
	Waiting          int                  `json:"waiting,omitempty"`
	Candidates       []Candidate          `json:"candidates,omitempty"`
	Filtered         []Filter             `json:"filtered,omitempty"`
	SettingsRevision int64                `json:"settings_revision"`
	Allotment        int64                `json:"allotment_revision"`
	Token            cluster.FencingToken `json:"token"`
}

// Candidate is a machine or replica that was considered.
type Candidate struct {
	Machine cluster.MachineID `json:"machine"`
	Zone    cluster.ZoneID    `json:"zone,omitempty"`
	Tier    string            `json:"tier,omitempty"`
	// ExpectedSeconds is the estimated time until the model is loaded, or until the
	// request starts.
	ExpectedSeconds float64 `json:"expected_seconds"`
	FreeBytes       int64   `json:"free_bytes,omitempty"`
	Score           float64 `json:"score,omitempty"`
	PrefixBlocks    float64 `json:"prefix_blocks,omitempty"`
	InFlight        int     `json:"in_flight,omitempty"`
}

// Filter is the number of candidates that were excluded for one cause.
type Filter struct {
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// Action is an order to a machine in a placement plan.
type Action struct {
	Kind            string            `json:"kind"`
	Machine         cluster.MachineID `json:"machine"`
	Version         string            `json:"version,omitempty"`
	Tier            string            `json:"tier,omitempty"`
	ExpectedSeconds float64           `json:"expected_seconds,omitempty"`
	Reason          Reason            `json:"reason"`
}

// getWhyModel handles GET /why/models/{model}: it responds with the reasons why a
// model is or is not loaded. A model that the token may not see is not found.
func (s *server) getWhyModel(w http.ResponseWriter, r *http.Request) {
	id := cluster.ModelID(chi.URLParam(r, "model"))
	_, snapshot := s.Backend.Settings()
	model := snapshot.Model(id)
	if model == nil || !snapshot.Visible(requestToken(r).Path, model) {
		writeError(w, ErrNotFound)
		return
	}
	decisions, err := s.Backend.ModelDecisions(r.Context(), id)
	if err != nil {
		writeError(w, err)
		return
	}
	replicas, err := s.Backend.Replicas(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	replicas = slices.DeleteFunc(slices.Clone(replicas), func(replica Replica) bool { return replica.Model != id })
	writeJSON(w, http.StatusOK, newModelReasons(model, decisions, replicas))
}

// newModelReasons returns the reasons for a model's state from the last decisions
// on it.
func newModelReasons(model *settings.Model, decisions []ModelDecision, replicas []Replica) ModelReasons {
	view := ModelReasons{Model: model.ID, Path: model.Path, Replicas: replicas, Zones: []DecisionReasons{}}
	decisions = slices.Clone(decisions)
	slices.SortFunc(decisions, func(a, b ModelDecision) int { return cmp.Compare(a.Zone, b.Zone) })
	var lines []string
	for i := range decisions {
		decision := newDecisionReasons(&decisions[i])
		view.Zones = append(view.Zones, decision)
		lines = append(lines, string(decision.Zone)+": "+decision.Text)
	}
	if len(lines) == 0 {
		lines = []string{"not loaded: no controller has decided on it yet"}
	}
	view.Text = strings.Join(lines, "\n")
	return view
}

// newDecisionReasons returns the JSON form of a recorded decision.
func newDecisionReasons(recorded *ModelDecision) DecisionReasons {
	decision := &recorded.Decision
	view := DecisionReasons{
		Zone: recorded.Zone, Node: recorded.Node, At: recorded.At, Text: DecisionText(decision),
		Wanted: decision.Wanted, Allowed: decision.Allowed, Held: decision.Held, Loaded: decision.Loaded,
		NextWake: decision.NextWake, Reason: newReason(&decision.Reason),
	}
	for i := range recorded.Actions {
		action := &recorded.Actions[i]
		shown := Action{Kind: action.Kind.String(), Machine: action.Machine, Version: action.Version,
			ExpectedSeconds: action.ExpectedTime.Seconds(), Reason: newReason(&action.Reason)}
		if action.Kind == cluster.OrderLoad {
			shown.Tier = action.Tier.String()
		}
		view.Actions = append(view.Actions, shown)
	}
	return view
}

// newReason returns the JSON form of a placement reason.
func newReason(reason *placement.Reason) Reason {
	view := Reason{
		Cause: string(reason.Cause), Setting: reason.Setting, Source: reason.Source,
		IdleSeconds: reason.Idle.Seconds(), KeepAliveSeconds: reason.KeepAlive.Seconds(), Waiting: reason.Waiting,
		SettingsRevision: reason.SettingsRevision, Allotment: reason.AllotmentRevision, Token: reason.Token,
	}
	for _, candidate := range reason.Candidates {
		view.Candidates = append(view.Candidates, Candidate{Machine: candidate.Machine, Tier: candidate.Tier.String(),
			ExpectedSeconds: candidate.ExpectedTime.Seconds(), FreeBytes: candidate.FreeBytes, Score: candidate.Score})
	}
	for _, filtered := range reason.Filtered {
		view.Filtered = append(view.Filtered, Filter{Cause: string(filtered.Cause), Count: filtered.Count})
	}
	return view
}

// RequestReasons holds the machines that a request was dispatched to, the reasons
// for their choice and the outcome.
type RequestReasons struct {
	ID       cluster.RequestID `json:"id"`
	Model    cluster.ModelID   `json:"model"`
	Node     cluster.NodeID    `json:"node"`
	Arrived  time.Time         `json:"arrived"`
	Ended    time.Time         `json:"ended,omitzero"`
	Text     string            `json:"text"`
	Attempts []AttemptReasons  `json:"attempts"`
	Outcome  *Outcome          `json:"outcome,omitempty"`
}

// AttemptReasons is one dispatch of a request, with the reasons for the machine.
type AttemptReasons struct {
	Attempt          cluster.Attempt      `json:"attempt"`
	At               time.Time            `json:"at"`
	Machine          cluster.MachineID    `json:"machine"`
	Version          string               `json:"version"`
	WaitedSeconds    float64              `json:"waited_seconds"`
	Candidates       []Candidate          `json:"candidates"`
	Filtered         []Filter             `json:"filtered,omitempty"`
	SettingsRevision int64                `json:"settings_revision"`
	Token            cluster.FencingToken `json:"token"`
}

// Outcome is how a request ended.
type Outcome struct {
	// Code is empty if the response was relayed completely.
	Code             string            `json:"code,omitempty"`
	Message          string            `json:"message,omitempty"`
	Verdict          string            `json:"verdict"`
	Setting          string            `json:"setting,omitempty"`
	Source           string            `json:"source,omitempty"`
	Limit            float64           `json:"limit,omitempty"`
	Value            float64           `json:"value,omitempty"`
	WaitedSeconds    float64           `json:"waited_seconds"`
	Attempts         int               `json:"attempts"`
	Machine          cluster.MachineID `json:"machine,omitempty"`
	SettingsRevision int64             `json:"settings_revision"`
}

// getWhyRequest handles GET /why/requests/{request}: it responds with the dispatches
// of a request and the reasons for them. A request from outside the token's subtree
// is not found.
func (s *server) getWhyRequest(w http.ResponseWriter, r *http.Request) {
	trace, err := s.Backend.RequestTrace(r.Context(), cluster.RequestID(chi.URLParam(r, "request")))
	if err == nil && !settings.Contains(requestToken(r).Path, trace.TokenPath) {
		err = ErrNotFound
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, newRequestReasons(&trace))
}

// newRequestReasons returns the JSON form of a request's trace.
func newRequestReasons(trace *RequestTrace) RequestReasons {
	view := RequestReasons{
		ID: trace.ID, Model: trace.Model, Node: trace.Node, Arrived: trace.Arrived, Ended: trace.Ended,
		Text: RequestText(trace), Attempts: []AttemptReasons{},
	}
	for i := range trace.Attempts {
		view.Attempts = append(view.Attempts, newAttemptReasons(&trace.Attempts[i]))
	}
	if trace.Finish != nil {
		view.Outcome = newOutcome(trace.Finish)
	}
	return view
}

// newAttemptReasons returns the JSON form of a dispatch.
func newAttemptReasons(attempt *AttemptTrace) AttemptReasons {
	dispatch := &attempt.Dispatch
	view := AttemptReasons{
		Attempt: dispatch.Attempt, At: attempt.At, Machine: dispatch.Machine, Version: dispatch.Version,
		WaitedSeconds: dispatch.Reason.Waited.Seconds(), Candidates: []Candidate{},
		SettingsRevision: dispatch.Reason.SettingsRevision, Token: dispatch.Reason.Token,
	}
	for _, candidate := range dispatch.Reason.Candidates {
		view.Candidates = append(view.Candidates, Candidate{Machine: candidate.Machine, Zone: candidate.Zone,
			ExpectedSeconds: candidate.ExpectedWait.Seconds(), PrefixBlocks: candidate.PrefixBlocks, InFlight: candidate.InFlight})
	}
	for _, filtered := range dispatch.Reason.Filtered {
		view.Filtered = append(view.Filtered, Filter{Cause: string(filtered.Cause), Count: filtered.Count})
	}
	return view
}

// newOutcome returns the JSON form of a request's end.
func newOutcome(finish *routing.Finish) *Outcome {
	reason := &finish.Reason
	view := &Outcome{
		Verdict: "ran", Setting: reason.Setting, Source: reason.Source, Limit: reason.Limit, Value: reason.Value,
		WaitedSeconds: reason.Waited.Seconds(), Attempts: reason.Attempts, Machine: reason.Machine,
		SettingsRevision: reason.SettingsRevision,
	}
	if finish.Failure != nil {
		view.Code, view.Message = string(finish.Failure.Code), finish.Failure.Message
		view.Verdict = finish.Failure.Verdict.String()
	}
	return view
}
