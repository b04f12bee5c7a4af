package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/standin/worker"
)

const (
	// harmfulPartInterval is the time between two requests with the part that crashes engines, and
	// besidePartInterval between two sound ones that share their caller and their first part. Both go
	// to randomly drawn nodes.
	harmfulPartInterval = 700 * time.Millisecond
	besidePartInterval  = 150 * time.Millisecond
	// partCredential identifies the caller of both.
	partCredential = "Bearer shares a part"
)

// streamsWith returns streams whose identifiers begin with a prefix, which determines the parts of their prompts.
func streamsWith(prefix string) func(number int) check.Request {
	return func(number int) check.Request {
		return check.Request{ID: fmt.Sprintf("%s%d", prefix, number), Route: check.RouteStream, Model: modelName(0), Deadline: maxDeadline}
	}
}

// setPrompt sets the fields of a request that names parts of its prompt.
func setPrompt(header http.Header, request *check.Request) {
	if parts := check.PromptParts(request.ID); parts != "" {
		header.Set(platform.HeaderPrefix, parts)
		header.Set("Authorization", partCredential)
	}
}

// crashIfPartHarmful reports whether a request has the part that crashes engines. If it does,
// crashIfPartHarmful kills the worker and starts a replacement later.
func (s *workerSlot) crashIfPartHarmful(r *http.Request, self *worker.Worker) bool {
	if !check.HasHarmfulPart(r.Header.Get(platform.HeaderPrefix)) || s.poisonOver.Load() {
		return false
	}
	s.crashNow(self)
	return true
}
