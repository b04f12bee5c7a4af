package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/platform"
)

var requestCount atomic.Int64

// ask is a caller's request for a stream.
type ask struct {
	node   *node
	path   string
	model  string
	events int
	wait   time.Duration
	// leaveAfter is when the caller closes its connection, zero for never.
	leaveAfter time.Duration
}

// outcome is what a caller got.
type outcome struct {
	id     string
	status int
	events int
	err    error
	first  time.Duration
}

// send sends a request on a connection of its own and reads the answer. begun is closed at the first event.
func (a ask) send(begun chan<- struct{}) outcome {
	w := a.node.world
	result := outcome{id: fmt.Sprintf("9c41d07be2a3%04x", requestCount.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), a.wait)
	defer cancel()
	if a.leaveAfter > 0 {
		time.AfterFunc(a.leaveAfter, cancel)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.node.base()+a.path, strings.NewReader("prompt"))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, result.id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(a.wait.Milliseconds(), 10))
	if a.model != "" {
		request.Header.Set(platform.HeaderModel, a.model)
		request.Header.Set(platform.HeaderTokens, "500,"+strconv.Itoa(2*a.events))
		request.Header.Set(platform.HeaderPrefix, "5c1e07a2:400,"+result.id[8:]+":100")
		request.Header.Set("X-Events", strconv.Itoa(a.events))
	}
	w.note("caller sends %s for %s to %s", result.id, a.model, a.node.name)
	began := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		result.err = err
		w.note("caller of %s: %v", result.id, err)
		return result
	}
	defer func() { _ = answer.Body.Close() }()
	result.status = answer.StatusCode
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id:") {
			continue
		}
		if result.events++; result.events == 1 {
			result.first = time.Since(began)
			if begun != nil {
				close(begun)
			}
		}
	}
	result.err = lines.Err()
	w.note("caller of %s got %d with %d events, %v", result.id, result.status, result.events, result.err)
	return result
}
