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

// testTime is the time of the API's clock in tests.
var testTime = time.Date(2026, 3, 2, 17, 0, 0, 0, time.UTC)

// fakeBackend is a Backend that returns the values that a test sets.
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

// testSecret returns the secret of the test token with a name.
func testSecret(name string) string { return "secret-of-" + name }

// testSecretHash returns the hash of the secret of the test token with a name.
func testSecretHash(name string) string {
	hash := sha256.Sum256([]byte(testSecret(name)))
	return hex.EncodeToString(hash[:])
}

// unreliableStore is a key-value store that can lose the response of a transaction and
// become unavailable afterwards.
type unreliableStore struct {
	keyvalue.Store
	loseResponse, unavailable bool
}

func (l *unreliableStore) Txn(ctx context.Context, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error) {
	result, err := l.Store.Txn(ctx, transaction)
	if l.loseResponse {
		l.loseResponse, l.unavailable = false, true
		return keyvalue.TransactionResult{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")
	}
	return result, err
}

func (l *unreliableStore) Range(ctx context.Context, prefix string) ([]keyvalue.KeyValue, keyvalue.Revision, error) {
	if l.unavailable {
		return nil, 0, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the key-value service is away")
	}
	return l.Store.Range(ctx, prefix)
}

// harness runs the API with a stand-in for the key-value service.
type harness struct {
	t       testing.TB
	backend *fakeBackend
	service *unreliableStore
	store   *settings.Store
	handler http.Handler
}

// descriptionRouter returns a router that finds the operation of a request in the
// OpenAPI description.
var descriptionRouter = sync.OnceValues(func() (routers.Router, error) {
	document, err := openapi3.NewLoader().LoadFromData(openAPIDescription)
	if err != nil {
		return nil, err
	}
	return gorillamux.NewRouter(document)
})

// newHarness returns a harness that serves a tree given in YAML. Each placeholder
// %NAME% in it is replaced by the hash of the secret of the test token NAME.
func newHarness(t testing.TB, yaml string) *harness {
	t.Helper()
	for {
		_, rest, found := strings.Cut(yaml, "%")
		name, _, _ := strings.Cut(rest, "%")
		if !found {
			break
		}
		yaml = strings.ReplaceAll(yaml, "%"+name+"%", testSecretHash(name))
	}
	tree, err := settings.ParseYAML([]byte(yaml))
	if err != nil {
		t.Fatal(err)
	}
	return newTreeHarness(t, tree)
}

// newTreeHarness returns a harness that serves a tree; nil means no settings.
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
	h := &harness{t: t, service: &unreliableStore{Store: client}, backend: &fakeBackend{EventLog: NewEventLog(16)}}
	h.store = settings.NewStore(h.service, settings.WithHistoryNames(func() string { return "h" }))
	h.handler = New(Config{Backend: h.backend, Store: h.store, Now: func() time.Time { return testTime },
		Bootstrap: &settings.Token{Name: "bootstrap", SHA256: testSecretHash("bootstrap"), Role: settings.RoleAdminister, Path: settings.RootPath}})
	if tree != nil {
		if _, err := h.store.Initialize(context.Background(), tree, "test"); err != nil {
			t.Fatal(err)
		}
		h.applyStoredTree()
	}
	return h
}

// applyStoredTree puts the stored tree in force in the backend, as settings replication
// does on a node.
func (h *harness) applyStoredTree() {
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

// response is a response that has been validated against the OpenAPI description.
type response struct {
	t      testing.TB
	status int
	header http.Header
	body   []byte
}

// request returns a request with the named token. The body is a string or is encoded as
// JSON; headers are pairs of names and values.
func (h *harness) request(token, method, path string, body any, headers ...string) *http.Request {
	encoded, isText := body.(string)
	if body != nil && !isText {
		data, _ := json.Marshal(body)
		encoded = string(data)
	}
	request := httptest.NewRequest(method, Prefix+path, strings.NewReader(encoded))
	request.Header.Set("Authorization", "Bearer "+testSecret(token))
	if encoded != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

// call serves a request with the named token and validates the request and the response
// against the OpenAPI description.
func (h *harness) call(token, method, path string, body any, headers ...string) response {
	h.t.Helper()
	request := h.request(token, method, path, body, headers...)
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	request = h.request(token, method, path, body, headers...) // the handler has consumed the body
	result := response{t: h.t, status: recorder.Code, header: recorder.Header(), body: recorder.Body.Bytes()}
	h.validateAgainstDescription(request, result)
	return result
}

// validateAgainstDescription fails the test if an accepted request or any response
// does not conform to the OpenAPI description.
func (h *harness) validateAgainstDescription(request *http.Request, result response) {
	h.t.Helper()
	router, err := descriptionRouter()
	if err != nil {
		h.t.Fatal(err)
	}
	route, parameters, err := router.FindRoute(request)
	if err != nil {
		h.t.Fatalf("%s %s is not in the OpenAPI description: %v", request.Method, request.URL, err)
	}
	options := &openapi3filter.Options{AuthenticationFunc: openapi3filter.NoopAuthenticationFunc, IncludeResponseStatus: true}
	requestInput := &openapi3filter.RequestValidationInput{Request: request, PathParams: parameters, Route: route, Options: options}
	if result.status < http.StatusBadRequest {
		// Only accepted requests must conform; rejected ones may be malformed on purpose.
		if err := openapi3filter.ValidateRequest(context.Background(), requestInput); err != nil {
			h.t.Fatalf("%s %s was accepted, but does not conform to the OpenAPI description: %v", request.Method, request.URL, err)
		}
	}
	responseInput := &openapi3filter.ResponseValidationInput{
		RequestValidationInput: requestInput, Status: result.status, Header: result.header, Options: options,
	}
	responseInput.SetBodyBytes(result.body)
	if err := openapi3filter.ValidateResponse(context.Background(), responseInput); err != nil {
		h.t.Fatalf("%s %s: the response with status %d does not conform to the OpenAPI description: %v\n%s", request.Method, request.URL, result.status, err, result.body)
	}
}

// edit posts an edit that is based on a revision.
func (h *harness) edit(token, id string, base int64, changes ...settings.Change) response {
	h.t.Helper()
	return h.call(token, http.MethodPost, "/tree/edits", EditRequest{ID: id, Changes: changes}, "If-Match", fmt.Sprint(base))
}

// get sends a GET request with the named token.
func (h *harness) get(token, path string) response {
	h.t.Helper()
	return h.call(token, http.MethodGet, path, nil)
}

// want checks the status and decodes the body into target; nil skips the decoding.
func (a response) want(status int, target any) response {
	a.t.Helper()
	if a.status != status {
		a.t.Fatalf("status %d, want %d: %s", a.status, status, a.body)
	}
	if target != nil {
		if err := json.Unmarshal(a.body, target); err != nil {
			a.t.Fatal(err)
		}
	}
	return a
}

// wantFailure checks the status and returns the error object of the body.
func (a response) wantFailure(status int) Failure {
	a.t.Helper()
	var body failureBody
	a.want(status, &body)
	return body.Error
}

// setChange returns a change that sets one key of a level.
func setChange(path, key string, value settings.Value) settings.Change {
	return settings.Change{Path: path, Set: map[string]settings.Value{key: value}}
}
