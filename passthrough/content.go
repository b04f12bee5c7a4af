package passthrough

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/routing/poison"
)

// alwaysFingerprintedBytes is the body size up to which the fingerprint of each request is
// computed on arrival, so that the log shows which requests are repeated.
const alwaysFingerprintedBytes = 4 << 10

// recordFingerprint computes the fingerprint of a request that has a short body or whose head
// matches a known poison request.
func (e *exchange) recordFingerprint() {
	content := e.requestContent()
	if len(e.body) <= alwaysFingerprintedBytes || e.NeedsFingerprint != nil && e.NeedsFingerprint(content.Head()) {
		e.content = content.Fingerprint()
	}
}

// partFingerprints returns the fingerprints of the first poison.MaxParts parts of a prompt.
func partFingerprints(parts []PromptPart) []poison.Fingerprint {
	parts = parts[:min(len(parts), poison.MaxParts)]
	fingerprints := make([]poison.Fingerprint, len(parts))
	for i := range parts {
		fingerprints[i] = poison.PartFingerprint(parts[i].ID)
	}
	return fingerprints
}

// fingerprint returns the fingerprint of the request content and computes it on the first call.
func (e *exchange) fingerprint() poison.Fingerprint {
	if e.content.IsZero() {
		content := e.requestContent()
		e.content = content.Fingerprint()
	}
	return e.content
}

// requestContent returns the parts of the request that its fingerprint covers.
func (e *exchange) requestContent() poison.Content {
	return poison.Content{
		Caller: e.request.Header.Get("Authorization"), Method: e.request.Method, Host: e.request.Host,
		Target: e.request.RequestURI, Body: e.body,
	}
}

// callerHash returns a hash that identifies the caller: of the credential, or of the remote host
// for a request without one. It is zero if neither is known.
func (e *exchange) callerHash() uint64 {
	if credential := e.request.Header.Get("Authorization"); credential != "" {
		return xxhash.Sum64String(credential)
	}
	host, _, err := net.SplitHostPort(e.request.RemoteAddr)
	if err != nil {
		return 0
	}
	return xxhash.Sum64String(host)
}

// recordConnectionBreak sets connectionBroken if the error means that the machine's side ended the
// connection. An interrupt by this node returns a timeout error instead. Once the caller has left,
// the error may come from the caller's side and is ignored.
func (a *attempt) recordConnectionBreak(err error) {
	switch {
	case a.request.Context().Err() != nil:
	case a.peer != nil:
		a.connectionBroken, a.processEnded = errors.Is(err, errMachineCut), outcomeOf(err) == OutcomeEnded
	default:
		a.connectionBroken = endedByMachine(err)
	}
}

// endedByMachine reports whether an error of a connection means that the machine's side ended it.
func endedByMachine(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
