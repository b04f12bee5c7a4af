package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
)

const (
	encodingHeader  = "Content-Encoding"
	encodingDeflate = "deflate"
)

// compress returns data compressed. It favours speed over size: a node may have a fifth of a
// core and sends the same content to many peers.
func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// requestBody returns a reader of a request's decompressed body. The caller must bound the number
// of bytes that it reads.
func requestBody(r *http.Request) io.Reader {
	if r.Header.Get(encodingHeader) == encodingDeflate {
		return flate.NewReader(r.Body)
	}
	return r.Body
}
