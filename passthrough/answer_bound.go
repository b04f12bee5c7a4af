package passthrough

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxUnstatedAnswerBytes bounds an answer that states no length: the longest answers of models have some 100 KB.
const maxUnstatedAnswerBytes = 64 << 20

// errAnswerTooLong is the error of an answer without a stated length that does not end.
var errAnswerTooLong = eris.Errorf("the answer states no length and is longer than %d bytes", maxUnstatedAnswerBytes)

// boundAnswer bounds the body of an answer that states no length, which a machine may write without end.
func boundAnswer(answer *http.Response) {
	if answer.ContentLength < 0 {
		answer.Body = &boundedBody{ReadCloser: answer.Body, left: maxUnstatedAnswerBytes}
	}
}

// boundedBody is a body that fails with errAnswerTooLong once it has been read to its bound.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(buffer []byte) (int, error) {
	if b.left <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := b.ReadCloser.Read(buffer[:min(int64(len(buffer)), b.left)])
	b.left -= int64(n)
	return n, err
}
