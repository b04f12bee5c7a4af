package passthrough

import (
	"errors"
	"io"
	"syscall"

	"github.com/valveslip/valveslip/routing/poison"
)

// shortBody is the size in bytes up to which each request's fingerprint is taken as it
// comes, so that the log tells those apart that come again.
const shortBody = 4 << 10

// fingerprint returns the fingerprint of what the request asks for.
func (e *exchange) fingerprint() poison.Fingerprint {
	if e.content.IsZero() {
		content := poison.Content{
			Caller: e.request.Header.Get("Authorization"), Method: e.request.Method, Host: e.request.Host,
			Target: e.request.RequestURI, Body: e.body,
		}
		e.content = content.Fingerprint()
	}
	return e.content
}

// noteBreak notes that the machine's side ended the connection. One that this node
// interrupted tells a time-out; where the caller left, the error may be of its side.
func (a *attempt) noteBreak(err error) {
	if a.request.Context().Err() != nil {
		return
	}
	a.broken = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
