package engine

import (
	"encoding/json"
	"strconv"

	"github.com/valveslip/valveslip/cluster"
)

// answerFormat encodes the answer of one attempt. The bytes depend only on the
// attempt, so an answer can be resumed at any byte.
type answerFormat struct {
	model        cluster.ModelID
	seed         uint64
	tokens       int
	promptTokens int
	stream       bool
	includeUsage bool
	chat         bool
	// chunkPrefix and chunkSuffix enclose the token in a streamed chunk.
	chunkPrefix, chunkSuffix []byte
	id                       string
	created                  int64
}

// createdAt is the creation time in every answer, in Unix seconds. It is constant
// so that the bytes of an answer depend only on the attempt.
const createdAt = 1_700_000_000

func newAnswerFormat(key Key, body *inferenceRequest, prompt string, chat bool) *answerFormat {
	f := &answerFormat{
		model: body.Model, seed: Seed(body.Model, prompt), tokens: body.maxTokens(),
		promptTokens: len(prompt)/bytesPerToken + 1,
		stream:       body.Stream, includeUsage: body.StreamOptions.IncludeUsage, chat: chat,
		id: "cmpl-" + string(key.Request), created: createdAt,
	}
	if chat {
		f.id = "chat" + f.id
	}
	if f.stream {
		f.prepareChunk()
	}
	return f
}

// usageObject is the usage object of the OpenAI API.
type usageObject struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (f *answerFormat) usageObject() *usageObject {
	return &usageObject{PromptTokens: f.promptTokens, CompletionTokens: f.tokens, TotalTokens: f.promptTokens + f.tokens}
}

// prepareChunk sets the constant parts of a chunk. A token needs no JSON escapes,
// so it can be inserted as it is.
func (f *answerFormat) prepareChunk() {
	id, _ := json.Marshal(f.id)
	model, _ := json.Marshal(f.model)
	object, choice, suffix := "text_completion", `"text":"`, `","finish_reason":null,"logprobs":null}]}`
	if f.chat {
		object, choice, suffix = "chat.completion.chunk", `"delta":{"content":"`, `"},"finish_reason":null}]}`
	}
	prefix := append([]byte(`data: {"id":`), id...)
	prefix = append(prefix, `,"object":"`+object+`","created":`...)
	prefix = strconv.AppendInt(prefix, f.created, 10)
	prefix = append(prefix, `,"model":`...)
	prefix = append(prefix, model...)
	f.chunkPrefix = append(prefix, `,"choices":[{"index":0,`+choice...)
	f.chunkSuffix = []byte(suffix + "\n\n")
}

// appendTokens appends the chunks of the tokens from first up to, but not
// including, end.
func (f *answerFormat) appendTokens(out []byte, first, end int) []byte {
	for i := first; i < end; i++ {
		out = append(out, f.chunkPrefix...)
		out = AppendToken(out, f.seed, i)
		out = append(out, f.chunkSuffix...)
	}
	return out
}

// chunkBytes returns the length of a token's chunk in bytes.
func (f *answerFormat) chunkBytes() int { return len(f.chunkPrefix) + tokenBytes + len(f.chunkSuffix) }

// delta is the delta object in the last chunk of a streamed chat answer.
type delta struct {
	Content *string `json:"content,omitempty"`
	Role    string  `json:"role,omitempty"`
}

// message is the message object of a chat answer that isn't streamed.
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

// finishReason is the same for all answers, because they always have as many
// tokens as the request allows.
const finishReason = "length"

// appendEnd appends the chunks after the last token of a stream: the finish
// reason, the usage if the request asks for it, and the end marker.
func (f *answerFormat) appendEnd(out []byte) []byte {
	last := completion{ID: f.id, Object: "text_completion", Created: f.created, Model: f.model}
	final := choice{FinishReason: finishReason}
	if f.chat {
		last.Object, final.Delta = "chat.completion.chunk", &delta{}
	} else {
		final.Text = new(string)
	}
	last.Choices = []choice{final}
	out = appendData(out, last)
	if f.includeUsage {
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

// completeBody returns the body of an answer that isn't streamed.
func (f *answerFormat) completeBody() []byte {
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

// formatCache keeps the formats of the latest attempts, so that their answers can
// be resumed. Beyond maxFormats it drops the oldest one.
type formatCache struct {
	byKey map[Key]*answerFormat
	ring  []Key
	next  int
}

// maxFormats limits the kept formats. It leaves room for attempts in progress in
// addition to the kept answers.
const maxFormats = 2 * maxKeptAnswers

func newFormatCache() *formatCache {
	return &formatCache{byKey: map[Key]*answerFormat{}, ring: make([]Key, maxFormats)}
}

func (f *formatCache) add(key Key, added *answerFormat) {
	delete(f.byKey, f.ring[f.next])
	f.ring[f.next] = key
	f.next = (f.next + 1) % len(f.ring)
	f.byKey[key] = added
}

func (f *formatCache) get(key Key) *answerFormat { return f.byKey[key] }
