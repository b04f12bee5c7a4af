package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/limit"
	"github.com/valveslip/valveslip/routing/queue"
	"github.com/valveslip/valveslip/verdict"
)

// The policy keys and other bounds that an Explanation names.
const (
	settingQueueLength   = "queue_length"
	settingQueueBytes    = "queue_bytes"
	settingQueueTime     = "queue_time"
	settingDeadline      = "deadline"
	settingPatience      = "patience"
	settingRetryAttempts = "retry_attempts"
	settingRetryBudget   = "retry budget"
	settingPoisonEnds    = "machines ended"
)

// arrive admits and dispatches, queues or refuses a request.
func (r *Router) arrive(arrived *Request) {
	if _, known := r.requests[arrived.ID]; known {
		return
	}
	model, failure := r.admissibleModel(arrived)
	if failure != nil {
		r.refuse(arrived.ID, failure, Explanation{})
		return
	}
	if failure, reason := r.poisonRefusal(model, arrived); failure != nil {
		r.refuse(arrived.ID, failure, reason)
		return
	}
	deadline := r.deadline(model, arrived)
	if deadline <= r.nanos {
		failure := verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline had passed on arrival")
		r.refuse(arrived.ID, failure, Explanation{})
		return
	}
	claim, refusal, admitted := r.limits.Admit(r.nanos, arrived.TokenPath, model.configured.Path, model.estimateTokens(arrived))
	if !admitted {
		r.refuseByLimit(arrived.ID, refusal)
		return
	}
	model.arrivals++
	model.arrivedTokens += arrived.PromptTokens
	if arrived.Returned {
		model.returning.removeReturned()
	}
	model.objective = arrived.Objective
	r.markDemandChanged(model)
	r.creditRetries(model)
	r.dispatchOrQueue(r.admit(model, arrived, deadline, claim))
}

// estimateTokens returns the tokens that a request is expected to use: its prompt and the mean
// number of generated tokens, at most MaxTokens.
func (m *model) estimateTokens(arrived *Request) float64 {
	generated := m.meanGenerated
	if arrived.MaxTokens > 0 {
		generated = min(generated, float64(arrived.MaxTokens))
	}
	return float64(arrived.PromptTokens) + generated
}

// refuseByLimit refuses a request that exceeds a limit.
func (r *Router) refuseByLimit(id cluster.RequestID, refusal limit.Refusal) {
	code := verdict.CodeTokenRateLimit
	switch refusal.Kind {
	case limit.Concurrency:
		code = verdict.CodeConcurrencyLimit
	case limit.Requests:
		code = verdict.CodeRequestRateLimit
	}
	wait := refusal.RetryAfter
	if refusal.Kind == limit.Concurrency {
		wait = r.boundRetryAfter(wait)
	}
	failure := verdict.New(verdict.NotRun, code, "%s of %s is used up on this node", refusal.Kind.Setting(), refusal.Path)
	r.refuse(id, failure.After(wait), Explanation{
		Setting: refusal.Kind.Setting(), Source: refusal.Path, Limit: refusal.Limit, Value: refusal.Value,
	})
}

// admissibleModel returns the state of the request's model, or the failure if no request for it can
// be admitted.
func (r *Router) admissibleModel(arrived *Request) (*model, *verdict.Error) {
	if r.draining {
		return nil, r.drainingFailure()
	}
	if r.snapshot == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"no settings are in force yet").After(r.config.DrainRetryAfter)
	}
	model := r.configuredModel(arrived.Model)
	if model == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeModelNotFound, "model %q does not exist", arrived.Model)
	}
	return model, nil
}

// configuredModel returns the state of a model in the settings, or nil.
func (r *Router) configuredModel(id cluster.ModelID) *model {
	if known := r.models[id]; known != nil && known.configured != nil {
		return known
	}
	if r.snapshot.Model(id) == nil {
		return nil
	}
	return r.modelState(id)
}

// maxDeadline bounds the deadline of a request, 7 days.
const maxDeadline = 7 * 24 * time.Hour

// deadline returns the time by which a request must end: stated by the caller, else by the policy,
// else the default.
func (r *Router) deadline(m *model, arrived *Request) int64 {
	allowed := m.configured.Policy.Deadline
	if !arrived.Deadline.IsZero() {
		allowed = arrived.Deadline.Sub(r.now)
	} else if allowed <= 0 {
		allowed = r.config.DefaultDeadline
	}
	return r.nanos + int64(min(allowed, maxDeadline))
}

// admit creates the state of an admitted request.
func (r *Router) admit(m *model, arrived *Request, deadline int64, claim limit.Claim) *request {
	admitted := r.newRequest()
	admitted.Request = *arrived
	admitted.model = m
	admitted.arrived = r.nanos
	admitted.claim = claim
	admitted.deadline = deadline
	admitted.queueBudget = m.queueTimeLimit(admitted)
	admitted.timer.request = admitted
	admitted.item = queue.Item[*request]{
		Value:    admitted,
		Priority: arrived.Priority,
		Team:     arrived.Team,
		Deadline: deadline,
		Bytes:    arrived.BodyBytes,
		Cost:     queueCost(arrived),
	}
	r.requests[arrived.ID] = admitted
	return admitted
}

// tokensPerCost is the number of tokens that weigh as much as one request in the fair queueing
// between teams.
const tokensPerCost = 1024

func queueCost(arrived *Request) float64 {
	return 1 + float64(arrived.PromptTokens+arrived.MaxTokens)/tokensPerCost
}

// dispatchOrQueue dispatches, queues or refuses a request that was just admitted.
func (r *Router) dispatchOrQueue(admitted *request) {
	model := admitted.model
	ahead := model.queue.Ahead(admitted.item.Priority)
	if ahead == 0 && !r.mustWait(admitted) && r.tryDispatch(admitted) {
		return
	}
	failure, reason := r.releaseRefusal(admitted)
	if failure == nil {
		failure, reason = r.queueRefusal(admitted)
	}
	if failure == nil {
		failure, reason = r.startRefusal(admitted, model.queue.EstimateAhead(&admitted.item))
	}
	if failure != nil {
		r.finish(admitted, failure, reason)
		return
	}
	r.enqueue(admitted, false)
	if ahead > 0 {
		r.dispatchQueue(model)
	}
}

// queueRefusal returns why the request can't be queued, or nil. A bound of zero allows no queueing.
func (r *Router) queueRefusal(admitted *request) (*verdict.Error, Explanation) {
	model := admitted.model
	policy := &model.configured.Policy
	if policy.QueueTime <= 0 {
		if r.mustWait(admitted) {
			return r.heldBackFailure(admitted)
		}
		return verdict.New(verdict.NotRun, verdict.CodeQueueTimeout,
			"no replica is free and the model's requests may not wait").After(r.retryAfter(model)), model.explain(settingQueueTime, 0, 0)
	}
	if model.queue.Len() >= policy.QueueLength {
		reason := model.explain(settingQueueLength, float64(policy.QueueLength), float64(model.queue.Len()))
		return verdict.New(verdict.NotRun, verdict.CodeQueueFull,
			"%d requests wait for the model already", model.queue.Len()).After(r.retryAfter(model)), reason
	}
	if wanted := model.queue.Bytes() + admitted.BodyBytes; wanted > policy.QueueBytes {
		reason := model.explain(settingQueueBytes, float64(policy.QueueBytes), float64(wanted))
		return verdict.New(verdict.NotRun, verdict.CodeQueueFull,
			"the requests that wait for the model hold too many bytes").After(r.retryAfter(model)), reason
	}
	return nil, Explanation{}
}

// enqueue puts a request into its model's queue. returned is set for a request that was dispatched
// before.
func (r *Router) enqueue(waiting *request, returned bool) {
	waiting.queuedSince = r.nanos
	if waiting.model.queue.Ready() == 0 {
		waiting.model.beginWaiting(r.nanos)
	}
	if returned {
		waiting.model.queue.Return(&waiting.item)
	} else {
		waiting.model.queue.Push(&waiting.item)
	}
	r.holdBack(waiting)
	r.waiting++
	waiting.model.updateUnserved(r.nanos)
	r.markDemandChanged(waiting.model)
	end := min(waiting.deadline, r.nanos+waiting.queueBudget)
	if unstartable := r.unstartableAt(waiting); unstartable > r.nanos {
		end = min(end, unstartable)
	}
	if waiting.probeWanted {
		end = min(end, r.nanos+int64(probeGrantTimeout))
	}
	r.arm(&waiting.timer, end)
}

// accountWait deducts the time in the queue from the request's queue time once it has left the
// queue.
func (r *Router) accountWait(waiting *request) {
	spent := r.nanos - waiting.queuedSince
	waiting.queueBudget -= spent
	waiting.waited += time.Duration(spent)
	r.waiting--
	r.markDemandChanged(waiting.model)
}

// refuse ends a request that was not admitted.
func (r *Router) refuse(id cluster.RequestID, failure *verdict.Error, reason Explanation) {
	reason.Code = failure.Code
	reason.SettingsRevision = r.settingsRevision()
	r.emit(Finish{Request: id, Failure: failure, Reason: reason})
}

// explain returns an Explanation that names the setting of the model that decided, its bound and
// the value that was compared.
func (m *model) explain(setting string, limit, value float64) Explanation {
	reason := Explanation{Setting: setting, Limit: limit, Value: value}
	if m.configured != nil {
		reason.Source = m.configured.Sources[setting]
	}
	return reason
}

// serviceTime returns the mean service time in nanoseconds, or the default before the first
// observation.
func (m *model) serviceTime(config *Config) float64 {
	if m.meanService > 0 {
		return m.meanService
	}
	return float64(config.DefaultService)
}

// newRequest returns a recycled request or a new one.
func (r *Router) newRequest() *request {
	if last := len(r.recycled) - 1; last >= 0 {
		recycled := r.recycled[last]
		r.recycled = r.recycled[:last]
		return recycled
	}
	return &request{}
}

// maxRecycled bounds the number of recycled requests.
const maxRecycled = 1024

func (r *Router) recycle(ended *request) {
	if len(r.recycled) < maxRecycled {
		*ended = request{failedMachines: ended.failedMachines[:0]}
		r.recycled = append(r.recycled, ended)
	}
}
