package shell_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// TestFailureWithoutProofIsNoPromise guards against passing on a status that promises that a stream did not run although its
// engine ran it: an engine that fails by itself says nothing of the kind.
func TestFailureWithoutProofIsNoPromise(t *testing.T) {
	for _, path := range []string{"/once/x", "/write/"} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			for _, stamped := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %d, signed %t", path, status, stamped), func(t *testing.T) {
					d, counter := newDeployment(t, withoutLatencyObjective), &runCounter{}
					engine := worker.New(worker.Config{
						ID: "e1", Service: engineService, Zone: "z", Slots: 64, Models: map[string]catalog.ModelSpec{"big": {}}, Held: []string{"big"},
					})
					address := startScriptedWorker(t, func(_ int, connection net.Conn, reader *bufio.Reader) {
						for {
							request, err := readHead(reader)
							if err != nil {
								return
							}
							if strings.HasPrefix(request.URL.Path, "/valveslip/") {
								recorder := httptest.NewRecorder()
								engine.ServeHTTP(recorder, request)
								answer := recorder.Result()
								answer.ContentLength = int64(recorder.Body.Len())
								_ = answer.Write(connection)
								continue
							}
							id, stamp := request.Header.Get(platform.HeaderRequestID), ""
							counter.add(id)
							if stamped {
								stamp = platform.HeaderStamp + ": s\r\n"
							}
							_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nno",
								status, http.StatusText(status), platform.HeaderRequestID, id, stamp)
						}
					})
					engine.SetAddress(address)
					d.register(engine)
					d.registerAddress("p1", plainService, address)
					node := d.startDispatchingNodes(1)[0]
					for n := 1; n <= 5; n++ {
						checkOnce(t, counter, fmt.Sprintf("request-%d", n), d.call(node, http.MethodPost, path, "b", withModel("big")))
					}
				})
			}
		}
	}
}
