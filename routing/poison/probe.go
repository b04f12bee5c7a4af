package poison

import "time"

// ProbeDue reports whether a blocked request should be sent once more as a probe. A harmless but
// frequent request may be running on several machines that end, and only an answer can show that it
// is harmless.
func (t *Table) ProbeDue(now time.Time, content Fingerprint) bool {
	known := t.entries[content]
	return known != nil && !known.blockedSince.IsZero() && !known.probeGranted && now.Sub(known.blockedSince) >= probeDelay
}

// GrantProbe permits this node to send a blocked request once as a probe. The caller must bound the
// number of probes over all nodes.
func (t *Table) GrantProbe(content Fingerprint) {
	if known := t.entries[content]; known != nil && !known.blockedSince.IsZero() {
		known.probeGranted = true
	}
}

// TakeProbe uses the permission for a probe and reports whether there was one.
func (t *Table) TakeProbe(content Fingerprint) bool {
	known := t.entries[content]
	if known == nil || !known.probeGranted {
		return false
	}
	known.probeGranted = false
	return true
}
