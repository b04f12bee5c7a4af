package responsehead

import (
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is the cause of an error about a response whose head HTTP does not allow. Such a response proves nothing,
// whatever its fields say.
var ErrInvalid = eris.New("the head of the response is invalid")

// The range of valid status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// maxNameBytes bounds how much of an invalid field name an error states.
const maxNameBytes = 64

// Check returns an error with the cause ErrInvalid if the head of a response is invalid: if its status is out of range, or
// the name of a field is no token. Package net/http keeps a name with a blank as it is, and does not use such a field to
// frame the body.
func Check(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return eris.Wrapf(ErrInvalid, "the status %03d is not within %d to %d", response.StatusCode, minStatus, maxStatus)
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrInvalid, "the field name %q is no token", name[:min(len(name), maxNameBytes)])
		}
	}
	return nil
}
