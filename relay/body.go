package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/tidwall/gjson"
)

// bufferBytes is the size of a relay buffer. A read does not wait until the buffer is full.
const bufferBytes = 8 << 10

// buffers is a pool of relay buffers.
var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferBytes)
	return &buffer
}}

// streamEnd is the last event of a complete stream in OpenAI's protocol.
var streamEnd = []byte("data: [DONE]")

// eventEnd separates server-sent events.
var eventEnd = []byte("\n\n")

// streamTracker counts the events of a stream, each of which carries a token, and keeps
// the stream's last bytes, by which it recognises the final event. It does not modify the
// stream.
type streamTracker struct {
	tokens     int
	tail       [16]byte
	tailLength int
}

// count processes the next bytes of the stream.
func (m *streamTracker) count(data []byte) {
	if m.tailLength > 0 && m.tail[m.tailLength-1] == '\n' && data[0] == '\n' {
		m.tokens++
	}
	m.tokens += bytes.Count(data, eventEnd)
	m.remember(data)
}

// remember updates tail with the next bytes of the stream.
func (m *streamTracker) remember(data []byte) {
	if len(data) >= len(m.tail) {
		m.tailLength = copy(m.tail[:], data[len(data)-len(m.tail):])
		return
	}
	keep := min(m.tailLength, len(m.tail)-len(data))
	copy(m.tail[:], m.tail[m.tailLength-keep:m.tailLength])
	copy(m.tail[keep:], data)
	m.tailLength = keep + len(data)
}

// completed reports whether the stream ended with streamEnd. It then takes that event,
// which is not a token, off the count.
func (m *streamTracker) completed() bool {
	if !bytes.HasSuffix(bytes.TrimRight(m.tail[:m.tailLength], "\r\n"), streamEnd) {
		return false
	}
	m.tokens = max(0, m.tokens-1)
	return true
}

// completionTokens returns the number of generated tokens that an answer states, zero
// when it states none, and whether the answer is valid JSON.
func completionTokens(body []byte) (int, bool) {
	if !json.Valid(body) {
		return 0, false
	}
	return int(gjson.GetBytes(body, "usage.completion_tokens").Int()), true
}

// appendAll reads reader to its end and returns buffer with the data appended.
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
