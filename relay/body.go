package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/tidwall/gjson"
)

// bufferBytes is the size of a relay buffer; a read never waits to fill it.
const bufferBytes = 8 << 10

// buffers recycles relay buffers.
var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferBytes)
	return &buffer
}}

// streamEnd is the last event of a whole stream in OpenAI's protocol.
var streamEnd = []byte("data: [DONE]")

// eventEnd separates server-sent events.
var eventEnd = []byte("\n\n")

// meter counts the events of a stream and remembers its last bytes. It leaves
// the bytes as they are.
type meter struct {
	tokens int
	tail   [16]byte
	length int
}

// count takes the next bytes of the stream.
func (m *meter) count(data []byte) {
	if m.length > 0 && m.tail[m.length-1] == '\n' && data[0] == '\n' {
		m.tokens++
	}
	m.tokens += bytes.Count(data, eventEnd)
	m.remember(data)
}

// remember keeps the last bytes of the stream in tail.
func (m *meter) remember(data []byte) {
	if len(data) >= len(m.tail) {
		m.length = copy(m.tail[:], data[len(data)-len(m.tail):])
		return
	}
	keep := min(m.length, len(m.tail)-len(data))
	copy(m.tail[:], m.tail[m.length-keep:m.length])
	copy(m.tail[keep:], data)
	m.length = keep + len(data)
}

// done reports whether the stream ended with its last event. That event is not
// a token.
func (m *meter) done() bool {
	if !bytes.HasSuffix(bytes.TrimRight(m.tail[:m.length], "\r\n"), streamEnd) {
		return false
	}
	m.tokens = max(0, m.tokens-1)
	return true
}

// usedTokens returns the generated tokens an answer states, and whether it is
// JSON at all.
func usedTokens(body []byte) (int, bool) {
	if !json.Valid(body) {
		return 0, false
	}
	return int(gjson.GetBytes(body, "usage.completion_tokens").Int()), true
}

// appendAll appends everything read to buffer.
func appendAll(buffer []byte, reader io.Reader) ([]byte, error) {
	if buffer == nil {
		buffer = make([]byte, 0, 1024)
	}
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}
