package poison

import (
	"testing"

	"pgregory.net/rapid"
)

// TestFingerprintTellsContents: parts that differ, or lie differently in the same bytes, give
// different fingerprints, and equal contents equal ones that survive their text.
func TestFingerprintTellsContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Content {
			part := rapid.SampledFrom([]string{"", "a", "aa", "b", "ab", "/"})
			return Content{
				Caller: part.Draw(t, name+" caller"), Method: part.Draw(t, name+" method"), Host: part.Draw(t, name+" host"),
				Target: part.Draw(t, name+" target"), Body: []byte(part.Draw(t, name+" body")),
			}
		}
		a, b := draw("a"), draw("b")
		same := a.Caller == b.Caller && a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && string(a.Body) == string(b.Body)
		if got := a.Fingerprint() == b.Fingerprint(); got != same {
			t.Fatalf("%q and %q: equal fingerprints %v", a, b, got)
		}
		read, err := ParseFingerprint(a.Fingerprint().String())
		if err != nil || read != a.Fingerprint() || read.IsZero() {
			t.Fatalf("read %v: %v", read, err)
		}
	})
}

// TestFingerprintUnread: text that is no fingerprint is an error, not a fingerprint.
func TestFingerprintUnread(t *testing.T) {
	for _, text := range []string{"", "00", "xx", "000102030405060708090a0b0c0d0e0f10"} {
		if read, err := ParseFingerprint(text); err == nil || !read.IsZero() {
			t.Errorf("%q is read as %v", text, read)
		}
	}
}
