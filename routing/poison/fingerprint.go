package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// FingerprintBytes is the length of a Fingerprint. 96 bits over the whole content keep
// collisions beyond reach, by chance and by intent, at half of a digest's bytes in memory and
// between nodes.
const FingerprintBytes = 16

// headBytes of a fingerprint are its Head.
const headBytes = 4

// Fingerprint tells what a request asks for: equal for one that comes again. The zero value
// means that it is not known.
type Fingerprint [FingerprintBytes]byte

// Head is the part of a fingerprint that leaves the body's bytes out: only bodies of requests
// whose heads are known need be read for it. It costs 0.4 us, a body of 1 MiB 0.81 ms.
type Head [headBytes]byte

// Head returns the fingerprint's part that leaves the body out.
func (f Fingerprint) Head() Head { return Head(f[:headBytes]) }

// Content is what a Fingerprint is over. Identifiers, deadlines and whatever else differs
// from one try to the next stay out of it.
type Content struct {
	// Caller is the credential of the caller, empty where there is none.
	Caller string
	// Method, Host and Target, the path with its query, of the request.
	Method, Host, Target string
	Body                 []byte
}

// Head returns the fingerprint's part that leaves the body out, but for its length.
func (c *Content) Head() Head {
	var buffer [headBuffer]byte
	sum := sha256.Sum256(c.appendHead(buffer[:0]))
	return Head(sum[:headBytes])
}

// Fingerprint returns the content's fingerprint.
func (c *Content) Fingerprint() Fingerprint {
	var buffer [headBuffer]byte
	parts := c.appendHead(buffer[:0])
	head := sha256.Sum256(parts)
	digest := sha256.New()
	_, _ = digest.Write(parts)
	_, _ = digest.Write(c.Body)
	var sum [sha256.Size]byte
	var f Fingerprint
	copy(f[:], head[:headBytes])
	copy(f[headBytes:], digest.Sum(sum[:0]))
	return f
}

// headBuffer holds all but the body of most requests.
const headBuffer = 256

// appendHead appends all but the body's bytes. Each part goes in with its length, so that no
// bytes can move from one part to the next.
func (c *Content) appendHead(to []byte) []byte {
	for _, part := range [...]string{c.Caller, c.Method, c.Host, c.Target} {
		to = binary.BigEndian.AppendUint64(to, uint64(len(part)))
		to = append(to, part...)
	}
	return binary.BigEndian.AppendUint64(to, uint64(len(c.Body)))
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
