package shell_test

import (
	"net/http"
	"sync"

	"github.com/valveslip/valveslip/standin/worker"
)

// answerKinds are the kinds of answers by which a worker may say something of itself.
var answerKinds = []struct {
	name, service, path string
	answers             worker.Behaviour
}{
	{"answer", plainService, "/read/", worker.Serve},
	{"failure", plainService, "/read/", worker.FailWith500},
	{"refusal", plainService, "/read/", worker.Reject},
	{"answer of another request", plainService, "/read/", worker.Cross},
	{"answer that is cut", plainService, "/read/", worker.CutBody},
	{"stream", engineService, "/stream/", worker.Serve},
	{"stream that is cut", engineService, "/stream/", worker.CutStream},
}

// countedWorker counts the requests that reach it.
type countedWorker struct {
	*worker.Worker
	mutex   sync.Mutex
	answers worker.Behaviour
	arrived int
}

// addCounted starts a worker that counts, and answers in a way until it is told another.
func (d *deployment) addCounted(id, service string, answers worker.Behaviour) *countedWorker {
	c := &countedWorker{Worker: d.addWorker(id, service, nil), answers: answers}
	c.Behave = func(*http.Request) worker.Behaviour {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.arrived++
		return c.answers
	}
	return c
}

// serve has the worker serve from now on, and returns how many requests reached it before.
func (c *countedWorker) serve() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers = worker.Serve
	return c.arrived
}

// arrivals returns how many requests have reached the worker.
func (c *countedWorker) arrivals() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.arrived
}
