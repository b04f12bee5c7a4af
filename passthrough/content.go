package passthrough

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/routing/poison"
)

// shortBody is the size in bytes up to which each request's fingerprint is taken as it
// comes, so that the log tells those apart that come again.
const shortBody = 4 << 10

// takeContent takes the fingerprint of a request whose body is short, or of which something
// may be known.
func (e *exchange) takeContent() {
	content := e.asked()
	if len(e.body) <= shortBody || e.KnowsPoison != nil && e.KnowsPoison(content.Head()) {
		e.content = content.Fingerprint()
	}
}

// fingerprint returns the fingerprint of what the request asks for.
func (e *exchange) fingerprint() poison.Fingerprint {
	if e.content.IsZero() {
		content := e.asked()
		e.content = content.Fingerprint()
	}
	return e.content
}

// asked is what the request asks for.
func (e *exchange) asked() poison.Content {
	return poison.Content{
		Caller: e.request.Header.Get("Authorization"), Method: e.request.Method, Host: e.request.Host,
		Target: e.request.RequestURI, Body: e.body,
	}
}

// caller tells the request's caller from others: by its credential, without one by the
// machine that it calls from.
func (e *exchange) caller() uint64 {
	if credential := e.request.Header.Get("Authorization"); credential != "" {
		return xxhash.Sum64String(credential)
	}
	host, _, err := net.SplitHostPort(e.request.RemoteAddr)
	if err != nil {
		return 0
	}
	return xxhash.Sum64String(host)
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
