package api

import (
	"encoding/json"
	"strings"

	"github.com/valveslip/valveslip/engine"
)

// maxPrefixBlocks bounds the prefix blocks a request is matched by.
const maxPrefixBlocks = 32

// chatMessage is the part of a chat message that makes up the prompt. Content
// is a text or a list of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content.
type contentPart struct {
	Text string `json:"text"`
}

// promptPrefixes returns the hash chain of a prompt's whole blocks. A prompt
// that is too short or of another form has none; it is merely not matched.
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

// contentText returns the text of a content value, empty when it has none.
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
