package engine

import (
	"net/url"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// PrefixBlockBytes is the length of one block of a prompt prefix. Engines cache and report only
// complete blocks.
const PrefixBlockBytes = 256

// Reasons of an OrderRefusal.
const (
	ReasonStaleToken       = "stale-token"
	ReasonUnknownModelBase = "unknown-model-base"
	ReasonInvalid          = "invalid"
	// ReasonNotSealed means that the engine was not sealed with the token of the order.
	ReasonNotSealed = "not-sealed"
	// ReasonOtherRun means that the order was meant for another run of the engine process.
	ReasonOtherRun = "other-run"
)

// Message is one chat message, reduced to its text.
type Message struct {
	Role, Content string
}

// ChatPrompt joins chat messages to the text whose prefix blocks are hashed. A continued
// conversation has its earlier messages as a prefix.
func ChatPrompt(messages []Message) string {
	length := 0
	for _, message := range messages {
		length += len(message.Role) + len(message.Content) + 2
	}
	text := make([]byte, 0, length)
	for _, message := range messages {
		text = append(text, message.Role...)
		text = append(text, '\n')
		text = append(text, message.Content...)
		text = append(text, '\n')
	}
	return string(text)
}

// PrefixChain returns the xxhash64 of the first block of the prompt, of its first two blocks and
// so on, at most limit hashes. It ignores an incomplete block at the end.
func PrefixChain(prompt string, limit int) []uint64 {
	blocks := min(len(prompt)/PrefixBlockBytes, limit)
	if blocks <= 0 {
		return nil
	}
	chain := make([]uint64, 0, blocks)
	var digest xxhash.Digest
	digest.Reset()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		chain = append(chain, digest.Sum64())
	}
	return chain
}

// escapeModel returns the model name as one path segment.
func escapeModel(model cluster.ModelID) string { return url.PathEscape(string(model)) }
