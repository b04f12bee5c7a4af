package shell_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/proxy"
)

// promisedStatuses are the statuses which state that a request has not run and never will.
var promisedStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// reject writes the answer of a worker that did not run a request. Without an ID it names no request.
func reject(out io.Writer, status int, id string) {
	field := ""
	if id != "" {
		field = fmt.Sprintf("%s: %s\r\n", platform.HeaderRequestID, id)
	}
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), field, platform.HeaderNotExecuted)
}

// runCounter counts the runs of each request over all workers.
type runCounter struct {
	mutex sync.Mutex
	runs  map[string]int
}

// add counts a run and returns the number of runs of the request.
func (c *runCounter) add(id string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[id]++
	return c.runs[id]
}

// of returns the number of runs of a request.
func (c *runCounter) of(id string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runs[id]
}

// repeatsRejections returns the script of a worker that rejects each request once and writes that rejection a
// second time when the request comes again on the same connection, before the answer to the run. An early worker rejects
// before it has read the body.
func repeatsRejections(counter *runCounter, early bool) func(int, net.Conn, *bufio.Reader) {
	var mutex sync.Mutex
	rejected := map[string]bool{}
	return func(_ int, connection net.Conn, reader *bufio.Reader) {
		rejectedHere := map[string]bool{}
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(platform.HeaderRequestID)
			mutex.Lock()
			first := !rejected[id]
			rejected[id] = true
			mutex.Unlock()
			if first && early {
				reject(connection, http.StatusServiceUnavailable, id)
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if first {
				rejectedHere[id] = true
				if !early {
					reject(connection, http.StatusServiceUnavailable, id)
				}
				continue
			}
			counter.add(id)
			if rejectedHere[id] {
				reject(connection, http.StatusServiceUnavailable, id)
			}
			answerTo(connection, id, "answer to "+id)
		}
	}
}

// checkOnce fails the test if a request ran more than once, or ran although the caller was told that it did not.
func checkOnce(t *testing.T, counter *runCounter, id string, got reply) {
	t.Helper()
	runs := counter.of(id)
	if runs > 1 || runs > 0 && slices.Contains(promisedStatuses, got.status) {
		t.Errorf("%s ran %d times, and its caller got %d %q", id, runs, got.status, got.body)
	}
}

// TestSurplusRejectionOfEarlierSendIsNoProof guards against a request that runs twice, or runs although its caller
// was told that it did not: a worker rejects it, it is sent there again, and the rejection arrives a second time
// on that connection.
func TestSurplusRejectionOfEarlierSendIsNoProof(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers int
		body    string
		early   bool
	}{
		{"one worker", 1, "b", false},
		{"two workers", 2, "b", false},
		{"one worker, long body", 1, strings.Repeat("b", 100<<10), false},
		{"one worker, long body, rejected before it is read", 1, strings.Repeat("b", 100<<10), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
			for i := range test.workers {
				d.registerAddress(fmt.Sprintf("p%d", i), plainService, startScriptedWorker(t, repeatsRejections(counter, test.early)))
			}
			node := d.startNode("n1")
			for range 20 {
				// Each call that is repeated because the node refused it has an ID of its own.
				var ids []string
				got := d.callUnlessLate(node, http.MethodPost, "/write/", test.body, func(header http.Header) {
					ids = append(ids, header.Get(platform.HeaderRequestID))
				})
				last := len(ids) - 1
				for _, refused := range ids[:last] {
					if runs := counter.of(refused); runs > 0 {
						t.Errorf("%s was refused and ran %d times", refused, runs)
					}
				}
				checkOnce(t, counter, ids[last], got)
				if test.workers == 1 && got.status != http.StatusOK {
					t.Errorf("%s got %d %q %v, want an answer of the run", ids[last], got.status, got.body, got.err)
				}
			}
		})
	}
}

// TestAnswerWithoutIDIsNoProofForNextRequest guards against promising that a request did not run because an answer
// that names no request arrived in the place of its own.
func TestAnswerWithoutIDIsNoProofForNextRequest(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
			address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
				for {
					request, err := readHead(reader)
					if err != nil {
						return
					}
					id := request.Header.Get(platform.HeaderRequestID)
					counter.add(id)
					reject(connection, status, "")
					answerTo(connection, id, "answer to "+id)
				}
			})
			d.registerAddress("p1", plainService, address)
			node := d.startNode("n1")
			for n := 1; n <= 10; n++ {
				got := d.call(node, http.MethodPost, "/write/", "b", nil)
				checkOnce(t, counter, fmt.Sprintf("request-%d", n), got)
			}
		})
	}
}

// TestSurplusRejectionThroughPeerIsNoProof guards against the same at a node that sends the requests of another one,
// which has lost its own path: both sends of a request may go over one connection of that node.
func TestSurplusRejectionThroughPeerIsNoProof(t *testing.T) {
	d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
	var proxies []*proxy.Proxy
	for i := range 2 {
		p, err := proxy.Listen(proxy.Options{
			Address: "127.0.0.1:0", Target: startScriptedWorker(t, repeatsRejections(counter, false)), OnError: func(err error) { t.Error(err) },
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		d.registerAddress(fmt.Sprintf("p%d", i), plainService, p.Address())
		proxies = append(proxies, p)
	}
	var nodes []*shell.Node
	for i := range 2 {
		nodes = append(nodes, d.startNode(fmt.Sprintf("n%d", i), func(o *shell.Options) {
			o.Upstream.LocalAddress = net.IP(sourceOf(i).AsSlice())
			o.Engines = platform.NewEngineClient(o.Upstream.LocalAddress)
		}))
	}
	for _, p := range proxies {
		if err := p.CutOff(proxy.PartitionReset, sourceOf(0)); err != nil {
			t.Fatal(err)
		}
	}
	served := 0
	d.eventually("the node that is cut off serves", func() bool {
		if got := d.call(nodes[0], http.MethodPost, "/read/", "b", nil); got.status == http.StatusOK {
			served++
		}
		return served == 3
	})
	for range 20 {
		id := fmt.Sprintf("request-%d", d.lastRequestNumber.Load()+1)
		checkOnce(t, counter, id, d.call(nodes[0], http.MethodPost, "/write/", "b", nil))
	}
}
