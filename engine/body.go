package engine

import (
	"bytes"
	"io"
	"sync/atomic"
)

// requestBody is a request body that records whether the transport has begun to read it. Until
// then the engine cannot have received a complete request. After the transport has returned an
// error, it writes nothing more.
type requestBody struct {
	content     []byte
	readStarted atomic.Bool
}

// bodyReader reads a requestBody once.
type bodyReader struct {
	bytes.Reader
	body *requestBody
}

func (b *requestBody) newReader() *bodyReader {
	reader := &bodyReader{body: b}
	reader.Reset(b.content)
	return reader
}

// getBody lets the transport retry on another connection if it found the first one closed before
// it had written anything. It does so in no other case, because the request is a POST without an
// idempotency key.
func (b *requestBody) getBody() (io.ReadCloser, error) { return b.newReader(), nil }

// Read implements io.Reader.
func (r *bodyReader) Read(into []byte) (int, error) {
	r.body.readStarted.Store(true)
	return r.Reader.Read(into)
}

// WriteTo implements io.WriterTo, which io.Copy prefers to Read.
func (r *bodyReader) WriteTo(to io.Writer) (int64, error) {
	r.body.readStarted.Store(true)
	return r.Reader.WriteTo(to)
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }
