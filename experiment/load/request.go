package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	standin "github.com/valveslip/valveslip/standin/engine"
)

// request is one generated request.
type request struct {
	target string
	model  string
	prompt string
	tokens int
	stream bool
	// cancelEarly is true when the client disconnects before the end of the answer.
	cancelEarly bool
	repeatable  bool
	// idempotencyKey is sent as Idempotency-Key; empty sends none.
	idempotencyKey string
	coldStart      bool
	// scheduledAt is the scheduled start of the request.
	scheduledAt time.Time
}

// seed returns the seed from which the engine stand-ins derive the answer to the prompt.
func (r *request) seed() uint64 {
	return standin.Seed(cluster.ModelID(r.model), r.chatPrompt())
}

// chatPrompt returns the rendered chat prompt, which determines the answer.
func (r *request) chatPrompt() string {
	return engine.ChatPrompt([]engine.Message{{Role: "user", Content: r.prompt}})
}

// chatBody is the JSON body of a chat request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r *request) body() ([]byte, error) {
	return json.Marshal(chatBody{
		Model: r.model, Messages: []chatMessage{{Role: "user", Content: r.prompt}},
		MaxTokens: r.tokens, Stream: r.stream,
	})
}

// generator generates the requests of a run from its seed.
type generator struct {
	config Config
	random *rand.Rand
	count  int
	filler string
}

func newGenerator(config Config) *generator {
	return &generator{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)),
		filler: strings.Repeat("lorem ipsum ", config.PromptBytes/len("lorem ipsum ")+1),
	}
}

// nextInterval returns the random time until the next request.
func (s *generator) nextInterval() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.config.Rate * float64(time.Second))
}

// generate returns a random request. Each prompt is unique within the run.
func (s *generator) generate(scheduledAt time.Time) *request {
	s.count++
	model := s.config.Models[s.random.IntN(len(s.config.Models))]
	prompt := s.filler[:s.config.PromptBytes] + fmt.Sprintf(" %d-%d", s.config.Seed, s.count)
	generated := &request{
		target: s.config.Targets[s.count%len(s.config.Targets)],
		model:  model, prompt: prompt, tokens: s.config.MaxTokens, scheduledAt: scheduledAt,
		stream:      s.random.Float64() < s.config.StreamShare,
		cancelEarly: s.random.Float64() < s.config.CancelShare,
		repeatable:  s.random.Float64() >= s.config.NotRepeatableShare,
	}
	if s.random.Float64() < s.config.RepeatShare {
		generated.idempotencyKey = fmt.Sprintf("load-%d-%d", s.config.Seed, s.count)
		generated.repeatable = false
	}
	return generated
}

// generateWithDuplicate returns the next request, and its duplicate when it has an idempotency key.
// The duplicate is copied before the first is launched, because launching modifies the request.
func (s *generator) generateWithDuplicate(scheduledAt time.Time) []*request {
	first := s.generate(scheduledAt)
	if first.idempotencyKey == "" {
		return []*request{first}
	}
	return []*request{first, s.duplicate(first)}
}

// duplicate returns a copy of the request for the next target, as a client that repeats it would
// send it.
func (s *generator) duplicate(first *request) *request {
	second := *first
	second.target = s.config.Targets[(s.count+1)%len(s.config.Targets)]
	return &second
}
