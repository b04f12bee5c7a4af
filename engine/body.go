package engine

import (
	"bytes"
	"io"
	"sync/atomic"
)

// trackedBody is a request body that knows whether the transport has begun to
// read it. While it has not, the engine cannot have received a whole request;
// and the transport writes nothing any more once it has returned an error.
type trackedBody struct {
	content []byte
	read    atomic.Bool
}

// bodyReader reads a trackedBody once.
type bodyReader struct {
	bytes.Reader
	body *trackedBody
}

func (b *trackedBody) reader() *bodyReader {
	reader := &bodyReader{body: b}
	reader.Reset(b.content)
	return reader
}

// again lets the transport use another connection when it found the first one
// closed before it had written anything; it does so in no other case, because
// the request is a POST without an idempotency key.
func (b *trackedBody) again() (io.ReadCloser, error) { return b.reader(), nil }

// Read implements io.Reader.
func (r *bodyReader) Read(into []byte) (int, error) {
	r.body.read.Store(true)
	return r.Reader.Read(into)
}

// WriteTo implements io.WriterTo, which copying prefers to Read.
func (r *bodyReader) WriteTo(to io.Writer) (int64, error) {
	r.body.read.Store(true)
	return r.Reader.WriteTo(to)
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }
