package poison

import (
	"bytes"
	"encoding/binary"
	"time"
)

// partTag begins the fingerprints of parts of prompts, which share tables, messages and stored records
// with those of whole requests. The ID of the part follows.
var partTag = [FingerprintBytes - 8]byte{'p', 'r', 'o', 'm', 'p', 'a', 'r', 't'}

// MaxParts bounds the parts of one prompt that are considered, since a caller may name any number.
const MaxParts = 32

// PartFingerprint returns the fingerprint of a part of a prompt.
func PartFingerprint(id uint64) Fingerprint {
	var f Fingerprint
	copy(f[:], partTag[:])
	binary.BigEndian.PutUint64(f[len(partTag):], id)
	return f
}

// IsPart reports whether the fingerprint is that of a part of a prompt.
func (f Fingerprint) IsPart() bool { return bytes.Equal(f[:len(partTag)], partTag[:]) }

// PartID returns the ID of the part that the fingerprint is of.
func (f Fingerprint) PartID() uint64 { return binary.BigEndian.Uint64(f[len(partTag):]) }

// short returns eight bytes of the digest, by which the requests that share a part are told apart.
func (f Fingerprint) short() uint64 { return binary.BigEndian.Uint64(f[headBytes:]) }

// soundGenerations remembers the parts with which requests were answered lately. It keeps two
// generations, so that a flood of new parts drops only those that were not seen for long.
type soundGenerations struct {
	young, old map[Fingerprint]time.Time
	began      time.Time
}

// maxGeneration bounds one generation, at about 60 bytes a part.
const maxGeneration = 4096

// note records an answer with a part.
func (s *soundGenerations) note(now time.Time, part Fingerprint) {
	if s.young == nil || len(s.young) >= maxGeneration || now.Sub(s.began) >= completedTTL {
		s.old, s.young, s.began = s.young, map[Fingerprint]time.Time{}, now
	}
	s.young[part] = now
}

// seen reports whether a request with the part was answered within completedTTL.
func (s *soundGenerations) seen(now time.Time, part Fingerprint) bool {
	at, known := s.young[part]
	if !known {
		at, known = s.old[part]
	}
	return known && now.Sub(at) < completedTTL
}
