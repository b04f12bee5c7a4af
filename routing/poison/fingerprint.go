package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// FingerprintBytes is the length of a Fingerprint. Half of SHA-256 keeps collisions beyond
// reach, by chance and by intent, at half of the bytes in memory and between nodes.
const FingerprintBytes = 16

// Fingerprint tells what a request asks for: equal for one that comes again. The zero value
// means that it is not known.
type Fingerprint [FingerprintBytes]byte

// Content is what a Fingerprint is over. Identifiers, deadlines and whatever else differs
// from one try to the next stay out of it.
type Content struct {
	// Caller is the credential of the caller, empty where there is none.
	Caller string
	// Method, Host and Target, the path with its query, of the request.
	Method, Host, Target string
	Body                 []byte
}

// Fingerprint returns the content's fingerprint. Each part goes in with its length, so that
// no bytes can move from one part to the next.
func (c *Content) Fingerprint() Fingerprint {
	digest := sha256.New()
	var length [8]byte
	for _, part := range []string{c.Caller, c.Method, c.Host, c.Target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(c.Body)
	var sum [sha256.Size]byte
	return Fingerprint(digest.Sum(sum[:0])[:FingerprintBytes])
}

// IsZero reports whether the fingerprint is not known.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the form used in keys, logs and commands; empty for one not known.
func (f Fingerprint) String() string {
	if f.IsZero() {
		return ""
	}
	return hex.EncodeToString(f[:])
}

// ParseFingerprint reads the form written by String.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != FingerprintBytes {
		return Fingerprint{}, eris.Errorf("%q is no fingerprint of %d bytes in hexadecimal digits", text, FingerprintBytes)
	}
	return Fingerprint(data), nil
}
