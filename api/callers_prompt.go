package api

import (
	"encoding/json"
	"strings"

	"github.com/valveslip/valveslip/engine"
)

// maxPrefixBlocks limits the prefix blocks of a prompt that are compared with prefix caches.
const maxPrefixBlocks = 32

// chatMessage holds the fields of a chat message that become part of the prompt. Content is a
// string or a list of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content.
type contentPart struct {
	Text string `json:"text"`
}

// promptPrefixes returns the hash chain of the prompt's complete blocks. It returns nil for a
// prompt that is too short or has another form; such a request is routed without prefix matching.
func promptPrefixes(prompt json.RawMessage, path string) []uint64 {
	if len(prompt) < engine.PrefixBlockBytes {
		return nil
	}
	if path != pathChatCompletions {
		return engine.PrefixChain(contentText(prompt), maxPrefixBlocks)
	}
	var messages []chatMessage
	if json.Unmarshal(prompt, &messages) != nil {
		return nil
	}
	texts := make([]engine.Message, len(messages))
	for i, message := range messages {
		texts[i] = engine.Message{Role: message.Role, Content: contentText(message.Content)}
	}
	return engine.PrefixChain(engine.ChatPrompt(texts), maxPrefixBlocks)
}

// contentText returns the text of a content value, empty if it has none.
func contentText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	var parts []contentPart
	if json.Unmarshal(content, &parts) != nil {
		return ""
	}
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
	}
	return joined.String()
}
