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

// request is one request of a run.
type request struct {
	target string
	model  string
	prompt string
	tokens int
	stream bool
	// cancel is true when the caller will leave early.
	cancel     bool
	repeatable bool
	// key is the Idempotency-Key, empty for none.
	key  string
	cold bool
	// due is when it was to start.
	due time.Time
}

// seed identifies the prompt to the engine stand-ins.
func (r *request) seed() uint64 {
	return standin.Seed(cluster.ModelID(r.model), r.chatPrompt())
}

// chatPrompt is the text that the answer follows from.
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

// source draws the requests of a run from its seed.
type source struct {
	config Config
	random *rand.Rand
	count  int
	filler string
}

func newSource(config Config) *source {
	return &source{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)),
		filler: strings.Repeat("lorem ipsum ", config.PromptBytes/len("lorem ipsum ")+1),
	}
}

// gap draws the time until the next request.
func (s *source) gap() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.config.Rate * float64(time.Second))
}

// next draws a request. Each prompt is unique to the run.
func (s *source) next(due time.Time) *request {
	s.count++
	model := s.config.Models[s.random.IntN(len(s.config.Models))]
	prompt := s.filler[:s.config.PromptBytes] + fmt.Sprintf(" %d-%d", s.config.Seed, s.count)
	drawn := &request{
		target: s.config.Targets[s.count%len(s.config.Targets)],
		model:  model, prompt: prompt, tokens: s.config.MaxTokens, due: due,
		stream:     s.random.Float64() < s.config.StreamShare,
		cancel:     s.random.Float64() < s.config.CancelShare,
		repeatable: s.random.Float64() >= s.config.NotRepeatableShare,
	}
	if s.random.Float64() < s.config.RepeatShare {
		drawn.key = fmt.Sprintf("load-%d-%d", s.config.Seed, s.count)
		drawn.repeatable = false
	}
	return drawn
}

// drawn returns the next request, and its repetition when it has a key. Both are
// made before either is launched, because a launched request changes.
func (s *source) drawn(due time.Time) []*request {
	first := s.next(due)
	if first.key == "" {
		return []*request{first}
	}
	return []*request{first, s.again(first)}
}

// again is the request as its caller sends it the second time.
func (s *source) again(first *request) *request {
	second := *first
	second.target = s.config.Targets[(s.count+1)%len(s.config.Targets)]
	return &second
}
