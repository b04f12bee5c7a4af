package load

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/schollz/progressbar/v3"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/internal/sleep"
)

const (
	dialTimeout = 5 * time.Second
	idleTimeout = 30 * time.Second
	// avoidDuration is how long a target that caused a retry receives no other request, and the
	// pause before the next round when all targets did.
	avoidDuration = time.Second
	// headerRepeatable states whether a request may run more than once.
	headerRepeatable     = "X-Valveslip-Repeatable"
	headerIdempotencyKey = "Idempotency-Key"
	bufferBytes          = 16 << 10
)

// Run sends the load and returns the measurements once every request has ended. When ctx ends, no
// more requests start.
func Run(ctx context.Context, config Config) (Report, error) {
	config, err := config.validate()
	if err != nil {
		return Report{}, err
	}
	runner := newRunner(config)
	defer runner.client.CloseIdleConnections()
	runner.dispatch(ctx)
	runner.pending.Wait()
	runner.updateProgress(func(bar *progressbar.ProgressBar) { _ = bar.Finish() })
	report := runner.collector.report(runner.lastDue.Sub(runner.start))
	return report, runner.collector.countUnexpectedRuns(context.WithoutCancel(ctx), config, &report)
}

// runner is the state of a run in progress.
type runner struct {
	config    Config
	client    *http.Client
	collector *resultCollector
	pending   sync.WaitGroup
	inFlight  atomic.Int64
	progress  *progressbar.ProgressBar
	start     time.Time
	lastDue   time.Time

	mu             sync.Mutex
	answeredModels map[string]bool // models of which an answer has begun
	avoidedUntil   map[string]time.Time
}

func newRunner(config Config) *runner {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: config.MaxInFlight,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
	}
	runner := &runner{config: config, client: &http.Client{Transport: transport}, collector: newResultCollector(), answeredModels: map[string]bool{},
		avoidedUntil: map[string]time.Time{}}
	for _, model := range config.WarmModels {
		runner.answeredModels[model] = true
	}
	if config.Progress != nil {
		expected := int(config.Rate * config.Duration.Seconds())
		runner.progress = progressbar.NewOptions(expected, progressbar.OptionSetWriter(config.Progress),
			progressbar.OptionSetDescription("requests"), progressbar.OptionShowCount(), progressbar.OptionThrottle(100*time.Millisecond),
			progressbar.OptionClearOnFinish())
	}
	return runner
}

// updateProgress calls update with the progress bar if there is one.
func (r *runner) updateProgress(update func(*progressbar.ProgressBar)) {
	if r.progress != nil {
		update(r.progress)
	}
}

// dispatch starts every request at its scheduled time.
func (r *runner) dispatch(ctx context.Context) {
	source := newGenerator(r.config)
	r.start = time.Now()
	r.lastDue = r.start
	end := r.start.Add(r.config.Duration)
	for due := r.start.Add(source.nextInterval()); due.Before(end); due = due.Add(source.nextInterval()) {
		if !sleep.For(ctx, time.Until(due)) {
			return
		}
		for _, request := range source.generateWithDuplicate(due) {
			r.launch(ctx, request)
		}
		r.lastDue = due
	}
	sleep.For(ctx, time.Until(end))
	r.lastDue = end
}

// launch starts one request in the background, or drops it if MaxInFlight requests are in progress.
func (r *runner) launch(ctx context.Context, request *request) {
	if r.inFlight.Add(1) > int64(r.config.MaxInFlight) {
		r.inFlight.Add(-1)
		r.collector.addNotSent()
		return
	}
	request.coldStart = !r.hasAnswered(request.model)
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		defer r.inFlight.Add(-1)
		result := r.send(ctx, request)
		r.collector.add(request, result)
		r.updateProgress(func(bar *progressbar.ProgressBar) { _ = bar.Add(1) })
	}()
}

// hasAnswered reports whether an answer of the model has begun.
func (r *runner) hasAnswered(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredModels[model]
}

// markAnswered records that an answer of the model has begun.
func (r *runner) markAnswered(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredModels[model] = true
}

// send sends one request, retries it on other targets if Config.RetryOnOtherTarget is set,
// and returns its result.
func (r *runner) send(ctx context.Context, request *request) *result {
	result := &result{}
	// Requests in progress may finish after the run is cancelled.
	deadlineCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.scheduledAt.Add(r.config.LostAfter))
	defer cancel()
	callerCtx, disconnect := context.WithCancel(deadlineCtx)
	defer disconnect()
	if request.cancelEarly {
		timer := time.AfterFunc(r.config.CancelAfter, disconnect)
		defer timer.Stop()
	}
	request.target = r.selectTarget(request.target)
	r.sendOnce(callerCtx, request, result, disconnect)
	for retries := 1; r.config.RetryOnOtherTarget && result.canRetryElsewhere() && callerCtx.Err() == nil; retries++ {
		r.avoidTarget(request.target)
		if retries%len(r.config.Targets) == 0 && !sleep.For(callerCtx, avoidDuration) {
			break
		}
		result.resetForRetry()
		request.target = r.selectTarget(r.nextTarget(request.target))
		r.sendOnce(callerCtx, request, result, disconnect)
	}
	result.total = time.Since(request.scheduledAt)
	switch {
	case result.outcome != outcomeBroken && result.outcome != outcomeUnreachable:
	case deadlineCtx.Err() != nil:
		result.outcome = outcomeLost
	case callerCtx.Err() != nil:
		result.outcome = outcomeCancelled
	}
	return result
}

// avoidTarget excludes a target from selection for avoidDuration.
func (r *runner) avoidTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidedUntil[target] = time.Now().Add(avoidDuration)
}

// selectTarget returns the given target, or the next one that is not avoided. If all are avoided,
// it returns the given one.
func (r *runner) selectTarget(target string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, candidate := time.Now(), target
	for range r.config.Targets {
		if !now.Before(r.avoidedUntil[candidate]) {
			return candidate
		}
		candidate = r.nextTarget(candidate)
	}
	return target
}

// nextTarget returns the target that follows the given one in the configured order.
func (r *runner) nextTarget(target string) string {
	index := slices.Index(r.config.Targets, target)
	return r.config.Targets[(index+1)%len(r.config.Targets)]
}

// sendOnce sends the request to its current target, reads the answer and records the outcome.
func (r *runner) sendOnce(ctx context.Context, request *request, result *result, disconnect func()) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpRequest, err := r.newHTTPRequest(httptrace.WithClientTrace(ctx, trace), request)
	if err != nil {
		result.outcome, result.detail = outcomeUnreachable, err.Error()
		return
	}
	answer, err := r.client.Do(httpRequest)
	if err != nil {
		result.outcome, result.detail = outcomeUnreachable, err.Error()
		if connected.Load() {
			result.outcome = outcomeBroken
		}
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		readError(answer, result)
		return
	}
	reader := answerReader{
		request: request, result: result, seed: request.seed(),
		onFirstToken: func() { r.markAnswered(request.model) }, disconnect: disconnect,
	}
	if request.stream {
		reader.readStream(answer.Body)
	} else {
		reader.readWhole(answer.Body)
	}
}

// newHTTPRequest builds the HTTP request with its headers.
func (r *runner) newHTTPRequest(ctx context.Context, request *request) (*http.Request, error) {
	body, err := request.body()
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, request.target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	if r.config.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+r.config.Token)
	}
	if r.config.Deadline > 0 {
		httpRequest.Header.Set(engine.HeaderDeadline, r.config.Deadline.String())
	}
	if request.idempotencyKey != "" {
		httpRequest.Header.Set(headerIdempotencyKey, request.idempotencyKey)
	}
	if request.repeatable {
		httpRequest.Header.Set(headerRepeatable, "true")
	} else {
		httpRequest.Header.Set(headerRepeatable, "false")
	}
	return httpRequest, nil
}
