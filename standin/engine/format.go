package engine

import (
	"encoding/json"
	"strconv"

	"github.com/valveslip/valveslip/cluster"
)

// format writes the answer of one attempt. Its bytes depend on nothing but the
// attempt, so an answer can be resumed at any byte.
type format struct {
	model        cluster.ModelID
	seed         uint64
	tokens       int
	promptTokens int
	stream       bool
	usage        bool
	chat         bool
	// before and after enclose the token in a streamed chunk.
	before, after []byte
	id            string
	created       int64
}

// createdAt is the constant creation time of every answer, which keeps answers
// a function of the attempt.
const createdAt = 1_700_000_000

func newFormat(key Key, body *inferenceRequest, prompt string, chat bool) *format {
	f := &format{
		model: body.Model, seed: Seed(body.Model, prompt), tokens: body.maxTokens(),
		promptTokens: len(prompt)/bytesPerToken + 1,
		stream:       body.Stream, usage: body.StreamOptions.IncludeUsage, chat: chat,
		id: "cmpl-" + string(key.Request), created: createdAt,
	}
	if chat {
		f.id = "chat" + f.id
	}
	if f.stream {
		f.encloseTokens()
	}
	return f
}

// usageObject is OpenAI's usage object.
type usageObject struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (f *format) usageObject() *usageObject {
	return &usageObject{PromptTokens: f.promptTokens, CompletionTokens: f.tokens, TotalTokens: f.promptTokens + f.tokens}
}

// encloseTokens prepares the constant parts of a chunk. The token itself has no
// character that JSON escapes.
func (f *format) encloseTokens() {
	id, _ := json.Marshal(f.id)
	model, _ := json.Marshal(f.model)
	object, choice, end := "text_completion", `"text":"`, `","finish_reason":null,"logprobs":null}]}`
	if f.chat {
		object, choice, end = "chat.completion.chunk", `"delta":{"content":"`, `"},"finish_reason":null}]}`
	}
	before := append([]byte(`data: {"id":`), id...)
	before = append(before, `,"object":"`+object+`","created":`...)
	before = strconv.AppendInt(before, f.created, 10)
	before = append(before, `,"model":`...)
	before = append(before, model...)
	f.before = append(before, `,"choices":[{"index":0,`+choice...)
	f.after = []byte(end + "\n\n")
}

// appendTokens appends the chunks of tokens first up to but not with end.
func (f *format) appendTokens(out []byte, first, end int) []byte {
	for i := first; i < end; i++ {
		out = append(out, f.before...)
		out = AppendToken(out, f.seed, i)
		out = append(out, f.after...)
	}
	return out
}

// chunkBytes is the length of every token's chunk.
func (f *format) chunkBytes() int { return len(f.before) + tokenBytes + len(f.after) }

// delta of the chunk that ends a chat answer.
type delta struct {
	Content *string `json:"content,omitempty"`
	Role    string  `json:"role,omitempty"`
}

// message of a whole chat answer.
type message struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
	Logprobs     *string  `json:"logprobs"`
}

type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   cluster.ModelID `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *usageObject    `json:"usage,omitempty"`
}

// finishReason: answers have exactly the tokens asked for.
const finishReason = "length"

// appendEnd appends what follows the last token of a stream.
func (f *format) appendEnd(out []byte) []byte {
	last := completion{ID: f.id, Object: "text_completion", Created: f.created, Model: f.model}
	final := choice{FinishReason: finishReason}
	if f.chat {
		last.Object, final.Delta = "chat.completion.chunk", &delta{}
	} else {
		final.Text = new(string)
	}
	last.Choices = []choice{final}
	out = appendData(out, last)
	if f.usage {
		last.Choices, last.Usage = []choice{}, f.usageObject()
		out = appendData(out, last)
	}
	return append(out, "data: [DONE]\n\n"...)
}

func appendData(out []byte, body completion) []byte {
	encoded, _ := json.Marshal(body)
	out = append(out, "data: "...)
	out = append(out, encoded...)
	return append(out, "\n\n"...)
}

// whole returns the answer that is not streamed.
func (f *format) whole() []byte {
	text := make([]byte, 0, f.tokens*tokenBytes)
	for i := range f.tokens {
		text = AppendToken(text, f.seed, i)
	}
	content := string(text)
	body := completion{ID: f.id, Object: "text_completion", Created: f.created, Model: f.model, Usage: f.usageObject()}
	only := choice{FinishReason: finishReason}
	if f.chat {
		body.Object, only.Message = "chat.completion", &message{Role: "assistant", Content: content}
	} else {
		only.Text = &content
	}
	body.Choices = []choice{only}
	encoded, _ := json.Marshal(body)
	return append(encoded, '\n')
}

// formats keeps the formats of the latest attempts, so that their answers can
// be resumed.
type formats struct {
	byKey map[Key]*format
	ring  []Key
	next  int
}

// maxFormats bounds the attempts in progress and the kept answers.
const maxFormats = 2 * maxKeptAnswers

func newFormats() *formats {
	return &formats{byKey: map[Key]*format{}, ring: make([]Key, maxFormats)}
}

func (f *formats) add(key Key, added *format) {
	delete(f.byKey, f.ring[f.next])
	f.ring[f.next] = key
	f.next = (f.next + 1) % len(f.ring)
	f.byKey[key] = added
}

func (f *formats) get(key Key) *format { return f.byKey[key] }
