package shell_test

import (
	"net/http"
	"sync"

	"github.com/valveslip/valveslip/standin/worker"
)

// answerKinds are the kinds of answers in which a worker may report its own state.
var answerKinds = []struct {
	name, service, path string
	answers             worker.Behaviour
}{
	{"answer", plainService, "/read/", worker.Serve},
	{"failure", plainService, "/read/", worker.FailWith500},
	{"refusal", plainService, "/read/", worker.Reject},
	{"answer of another request", plainService, "/read/", worker.AnswerForOtherRequest},
	{"answer that is cut", plainService, "/read/", worker.CutBody},
	{"stream", engineService, "/stream/", worker.Serve},
	{"stream that is cut", engineService, "/stream/", worker.CutStream},
}

// countingWorker counts the requests that reach it.
type countingWorker struct {
	*worker.Worker
	mutex   sync.Mutex
	answers worker.Behaviour
	arrived int
}

// addCountingWorker starts a worker that counts its requests and answers them as given until
// switchToServing.
func (d *deployment) addCountingWorker(id, service string, answers worker.Behaviour) *countingWorker {
	c := &countingWorker{Worker: d.addWorker(id, service, nil), answers: answers}
	c.Behave = func(*http.Request) worker.Behaviour {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.arrived++
		return c.answers
	}
	return c
}

// switchToServing makes the worker serve from now on and returns how many requests reached it
// before.
func (c *countingWorker) switchToServing() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers = worker.Serve
	return c.arrived
}

// arrivals returns how many requests have reached the worker.
func (c *countingWorker) arrivals() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.arrived
}
