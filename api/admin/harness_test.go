package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/gorillamux"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/settings"
	standin "github.com/valveslip/valveslip/standin/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

var testTime = time.Date(2026, 3, 2, 17, 0, 0, 0, time.UTC)

// fakeBackend is a node that has what a test gives it.
type fakeBackend struct {
	*EventLog
	tree     *settings.Tree
	snapshot *settings.Snapshot

	members     []Member
	controllers []Controller
	machines    []Machine
	replicas    []Replica
	queues      []Queue
	decisions   map[cluster.ModelID][]ModelDecision
	traces      map[cluster.RequestID]RequestTrace
}

func (b *fakeBackend) Settings() (*settings.Tree, *settings.Snapshot)    { return b.tree, b.snapshot }
func (b *fakeBackend) Members(context.Context) ([]Member, error)         { return b.members, nil }
func (b *fakeBackend) Controllers(context.Context) ([]Controller, error) { return b.controllers, nil }
func (b *fakeBackend) Machines(context.Context) ([]Machine, error)       { return b.machines, nil }
func (b *fakeBackend) Replicas(context.Context) ([]Replica, error)       { return b.replicas, nil }
func (b *fakeBackend) Queues(context.Context) ([]Queue, error)           { return b.queues, nil }
func (b *fakeBackend) ModelDecisions(_ context.Context, model cluster.ModelID) ([]ModelDecision, error) {
	return b.decisions[model], nil
}
func (b *fakeBackend) RequestTrace(_ context.Context, id cluster.RequestID) (RequestTrace, error) {
	trace, found := b.traces[id]
	if !found {
		return RequestTrace{}, ErrNotFound
	}
	return trace, nil
}

// secretOf is the secret of a test's token.
func secretOf(name string) string { return "secret-of-" + name }

func hashOf(name string) string {
	hash := sha256.Sum256([]byte(secretOf(name)))
	return hex.EncodeToString(hash[:])
}

// lossyKV can lose the answer of a transaction and be away afterwards.
type lossyKV struct {
	keyvalue.Store
	loseAnswer, away bool
}

func (l *lossyKV) Txn(ctx context.Context, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error) {
	result, err := l.Store.Txn(ctx, transaction)
	if l.loseAnswer {
		l.loseAnswer, l.away = false, true
		return keyvalue.TransactionResult{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")
	}
	return result, err
}

func (l *lossyKV) Range(ctx context.Context, prefix string) ([]keyvalue.KeyValue, int64, error) {
	if l.away {
		return nil, 0, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the key-value service is away")
	}
	return l.Store.Range(ctx, prefix)
}

// harness is the API over a stand-in of the key-value service.
type harness struct {
	t       testing.TB
	backend *fakeBackend
	service *lossyKV
	store   *settings.Store
	handler http.Handler
}

// documentRouter finds the operation of a request in the description.
var documentRouter = sync.OnceValues(func() (routers.Router, error) {
	document, err := openapi3.NewLoader().LoadFromData(description)
	if err != nil {
		return nil, err
	}
	return gorillamux.NewRouter(document)
})

// newHarness serves the tree in YAML; a token %NAME% in it gets the hash of
// that name's secret.
func newHarness(t testing.TB, yaml string) *harness {
	t.Helper()
	for {
		_, rest, found := strings.Cut(yaml, "%")
		name, _, _ := strings.Cut(rest, "%")
		if !found {
			break
		}
		yaml = strings.ReplaceAll(yaml, "%"+name+"%", hashOf(name))
	}
	tree, err := settings.ParseYAML([]byte(yaml))
	if err != nil {
		t.Fatal(err)
	}
	return newTreeHarness(t, tree)
}

func newTreeHarness(t testing.TB, tree *settings.Tree) *harness {
	t.Helper()
	service := standin.NewServer(standin.Config{}, 1)
	listener := httptest.NewServer(service)
	client := keyvalue.NewClient(listener.URL)
	t.Cleanup(func() {
		client.Close()
		listener.CloseClientConnections()
		listener.Close()
		service.Close()
	})
	h := &harness{t: t, service: &lossyKV{Store: client}, backend: &fakeBackend{EventLog: NewEventLog(16)}}
	h.store = settings.NewStore(h.service, settings.WithHistoryNames(func() string { return "h" }))
	h.handler = New(Config{Backend: h.backend, Store: h.store, Now: func() time.Time { return testTime },
		Bootstrap: &settings.Token{Name: "bootstrap", SHA256: hashOf("bootstrap"), Role: settings.RoleAdminister, Path: settings.RootPath}})
	if tree != nil {
		if _, err := h.store.Initialize(context.Background(), tree, "test"); err != nil {
			t.Fatal(err)
		}
		h.putInForce()
	}
	return h
}

// putInForce does what replication does on a node.
func (h *harness) putInForce() {
	h.t.Helper()
	tree, stamp, err := h.store.Load(context.Background())
	if err != nil {
		h.t.Fatal(err)
	}
	snapshot, err := tree.Compile(stamp)
	if err != nil {
		h.t.Fatal(err)
	}
	h.backend.tree, h.backend.snapshot = tree, snapshot
}

// answer is a response that fits the description.
type answer struct {
	t      testing.TB
	status int
	header http.Header
	body   []byte
}

// request builds a request with the named token.
func (h *harness) request(token, method, path string, body any, headers ...string) *http.Request {
	encoded, isText := body.(string)
	if body != nil && !isText {
		data, _ := json.Marshal(body)
		encoded = string(data)
	}
	request := httptest.NewRequest(method, Prefix+path, strings.NewReader(encoded))
	request.Header.Set("Authorization", "Bearer "+secretOf(token))
	if encoded != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

// call makes a request with the named token and checks the answer against the
// description.
func (h *harness) call(token, method, path string, body any, headers ...string) answer {
	h.t.Helper()
	request := h.request(token, method, path, body, headers...)
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	request = h.request(token, method, path, body, headers...) // its body anew
	result := answer{t: h.t, status: recorder.Code, header: recorder.Header(), body: recorder.Body.Bytes()}
	h.checkDescribed(request, result)
	return result
}

func (h *harness) checkDescribed(request *http.Request, result answer) {
	h.t.Helper()
	router, err := documentRouter()
	if err != nil {
		h.t.Fatal(err)
	}
	route, parameters, err := router.FindRoute(request)
	if err != nil {
		h.t.Fatalf("%s %s is not described: %v", request.Method, request.URL, err)
	}
	options := &openapi3filter.Options{AuthenticationFunc: openapi3filter.NoopAuthenticationFunc, IncludeResponseStatus: true}
	asked := &openapi3filter.RequestValidationInput{Request: request, PathParams: parameters, Route: route, Options: options}
	if result.status < http.StatusBadRequest {
		// What the API accepts must be as described; what it refuses need not.
		if err := openapi3filter.ValidateRequest(context.Background(), asked); err != nil {
			h.t.Fatalf("%s %s is accepted, but not as described: %v", request.Method, request.URL, err)
		}
	}
	input := &openapi3filter.ResponseValidationInput{
		RequestValidationInput: asked, Status: result.status, Header: result.header, Options: options,
	}
	input.SetBodyBytes(result.body)
	if err := openapi3filter.ValidateResponse(context.Background(), input); err != nil {
		h.t.Fatalf("%s %s answers %d, not as described: %v\n%s", request.Method, request.URL, result.status, err, result.body)
	}
}

// edit posts changes from a revision.
func (h *harness) edit(token, id string, base int64, changes ...settings.Change) answer {
	h.t.Helper()
	return h.call(token, http.MethodPost, "/tree/edits", EditRequest{ID: id, Changes: changes}, "If-Match", fmt.Sprint(base))
}

func (h *harness) get(token, path string) answer {
	h.t.Helper()
	return h.call(token, http.MethodGet, path, nil)
}

// want checks the status and decodes the body.
func (a answer) want(status int, into any) answer {
	a.t.Helper()
	if a.status != status {
		a.t.Fatalf("status %d, want %d: %s", a.status, status, a.body)
	}
	if into != nil {
		if err := json.Unmarshal(a.body, into); err != nil {
			a.t.Fatal(err)
		}
	}
	return a
}

// wantFailure checks the status and returns the error object.
func (a answer) wantFailure(status int) Failure {
	a.t.Helper()
	var body failureBody
	a.want(status, &body)
	return body.Error
}

func set(path, key string, value settings.Value) settings.Change {
	return settings.Change{Path: path, Set: map[string]settings.Value{key: value}}
}
