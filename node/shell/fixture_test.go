package shell_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	standin "github.com/valveslip/valveslip/standin/engine"
	"github.com/valveslip/valveslip/wire"
)

const (
	callerSecret  = "caller-secret"
	otherSecret   = "other-secret"
	readerSecret  = "reader-secret"
	expiredSecret = "expired-secret"
	zone          = cluster.ZoneID("z1")
	machine       = cluster.MachineID("m1")
	model         = cluster.ModelID("recall-letters")
)

// routerCore is a core that only routes, to the replicas in the status set by the
// test.
type routerCore struct {
	router      *routing.Router
	snapshot    *settings.Snapshot
	status      wire.CellStatus
	initialized bool
	draining    bool
}

// Step implements shell.Stepper.
func (c *routerCore) Step(now time.Time, event node.Event) []node.Effect {
	var effects []node.Effect
	if !c.initialized {
		c.initialized = true
		effects = append(effects, node.SettingsApplied{Snapshot: c.snapshot})
		c.router.Step(now, routing.SettingsChanged{Snapshot: c.snapshot})
		c.router.Step(now, routing.CellStatusChanged{Status: c.status})
	}
	var inputs []routing.Event
	switch event := event.(type) {
	case node.RoutingInput:
		inputs = []routing.Event{event.Event}
	case node.MessageReceived:
		inputs = []routing.Event{routing.CellStatusChanged{Status: event.Message.(wire.CellStatus)}}
	case node.DrainStarted:
		c.draining = true
		inputs = []routing.Event{routing.DrainStarted{}}
	default:
		inputs = []routing.Event{routing.Tick{}}
	}
	for _, input := range inputs {
		for _, effect := range c.router.Step(now, input) {
			effects = append(effects, node.RoutingOutput{Effect: effect})
		}
	}
	if c.draining && c.router.InFlight() == 0 {
		effects = append(effects, node.DrainCompleted{})
	}
	return effects
}

// noTransport drops all messages.
type noTransport struct{}

func (noTransport) Send(string, wire.Message)   {}
func (noTransport) Address() string             { return "127.0.0.1:1" }
func (noTransport) Close(context.Context) error { return nil }

// fixture is a node with one engine behind it.
type fixture struct {
	testing.TB
	engine  *standin.Server
	address string
	node    *shell.Node
}

// fixtureConfig configures a fixture.
type fixtureConfig struct {
	engine standin.Config
	policy func(*settings.Policy)
	// cold leaves the model out of the cell status, so that requests find no replica.
	cold bool
	// drainTime is the node's drain time; the default is 10 s.
	drainTime time.Duration
	// engineMargin is the relay's engine margin; the default is 1 s.
	engineMargin time.Duration
	maxBodyBytes int64
}

// hash returns the stored form of a token's secret.
func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// snapshot returns settings with one model for the caller's team and one for another
// team.
func snapshot(change func(*settings.Policy)) *settings.Snapshot {
	policy := settings.Defaults()
	policy.Deadline = 20 * time.Second
	if change != nil {
		change(&policy)
	}
	models := []settings.Model{
		{ID: "ledger", Kind: settings.KindModel, Path: "/claims/ledger", Team: "/claims", Policy: policy},
		{ID: model, Kind: settings.KindModel, Path: "/dental/letters/recall-letters", Team: "/dental", Policy: policy},
	}
	tokens := []settings.Token{
		{Name: "booking", SHA256: hash(callerSecret), Role: settings.RoleCall, Path: "/dental"},
		{Name: "clerk", SHA256: hash(otherSecret), Role: settings.RoleCall, Path: "/claims"},
		{Name: "auditor", SHA256: hash(readerSecret), Role: settings.RoleRead, Path: "/dental"},
		{Name: "former", SHA256: hash(expiredSecret), Role: settings.RoleCall, Path: "/dental", NotAfter: time.Unix(1, 0)},
	}
	slices.SortFunc(tokens, func(a, b settings.Token) int { return strings.Compare(a.SHA256, b.SHA256) })
	return settings.NewSnapshot(settings.Stamp{History: "h", Revision: 1}, models, tokens, map[string]settings.Scope{
		"/dental": {Path: "/dental", MaxConcurrency: policy.MaxConcurrency, RequestsPerSecond: policy.RequestsPerSecond, TokensPerSecond: policy.TokensPerSecond},
	})
}

// loadedStatus returns a cell status in which the engine has loaded the model.
func loadedStatus(address string) wire.CellStatus {
	return wire.CellStatus{
		Zone: zone, From: "c1", Token: 1, Sequence: 1, Full: true, Allotted: []cluster.ModelID{model},
		Replicas: []wire.ReplicaRecord{{Machine: machine, Address: address, Model: model, Version: "1", State: cluster.ReplicaLoaded, Slots: 512}},
	}
}

// startFixture starts an engine that has loaded the model, and a node that routes to
// it.
func startFixture(t testing.TB, config fixtureConfig) *fixture {
	t.Helper()
	config.engine.Machine = machine
	config.engine.MemoryBytes = 1 << 30
	config.engine.Accelerators = 1
	if config.engine.Slots == 0 {
		config.engine.Slots = 256
	}
	f := &fixture{TB: t, engine: standin.NewServer(standin.ServerConfig{Engine: config.engine})}
	var err error
	if f.address, err = f.engine.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.engine.Kill)
	control := engine.NewClient()
	defer control.Close()
	inventory, err := control.Seal(t.Context(), f.address, 1)
	if err != nil {
		t.Fatal(err)
	}
	order := cluster.Order{ID: "load", Token: 1, Epoch: inventory.Epoch, Machine: machine, Kind: cluster.OrderLoad, Model: model, Version: "1", Bytes: 1}
	if _, err := control.Order(t.Context(), f.address, order); err != nil {
		t.Fatal(err)
	}
	core := &routerCore{router: routing.New(routing.Config{Zone: zone, ExpectedRouters: 1}, 1), snapshot: snapshot(config.policy)}
	if !config.cold {
		core.status = loadedStatus(f.address)
	}
	if config.drainTime == 0 {
		config.drainTime = 10 * time.Second
	}
	if config.engineMargin == 0 {
		config.engineMargin = time.Second
	}
	f.node, err = shell.Start(context.Background(), node.Config{
		Zone: zone, CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", DrainTime: config.drainTime, MaxBodyBytes: config.maxBodyBytes,
	}, shell.Options{
		Relay:        relay.Options{ResumeWait: time.Millisecond, EngineMargin: config.engineMargin},
		NewCore:      func(cluster.Node) shell.Stepper { return core },
		NewTransport: func(string, func(wire.Message)) (shell.Transport, error) { return noTransport{}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.node.Kill)
	f.node.Step(node.Tick{})
	return f
}

// url returns the URL of a path of the callers' API.
func (f *fixture) url(path string) string { return "http://" + f.node.Self().CallerAddress + path }

// client returns the official OpenAI client with the given token and without retries.
func (f *fixture) client(secret string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.url("/v1/")), option.WithAPIKey(secret), option.WithMaxRetries(0))
}

// post sends a chat completion request with header fields given as name and value
// pairs.
func (f *fixture) post(body string, header ...string) *http.Response {
	f.Helper()
	request, err := http.NewRequest(http.MethodPost, f.url("/v1/chat/completions"), strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerSecret)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

// expectedAnswer returns the complete answer to a chat with one message.
func expectedAnswer(content string, tokens int) string {
	return standin.AnswerText(model, engine.ChatPrompt([]engine.Message{{Role: "user", Content: content}}), tokens)
}
