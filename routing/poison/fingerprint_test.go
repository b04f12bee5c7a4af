package poison

import (
	"testing"

	"pgregory.net/rapid"
)

// TestFingerprintDistinguishesContents checks that contents that differ, also only in how the same
// bytes are divided into parts, have different fingerprints, and that a fingerprint survives String
// and ParseFingerprint.
func TestFingerprintDistinguishesContents(t *testing.T) {
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
			t.Fatalf("parsed as %v: %v", read, err)
		}
	})
}

// TestInvalidFingerprintIsRejected checks that invalid text is an error and gives no fingerprint.
func TestInvalidFingerprintIsRejected(t *testing.T) {
	for _, text := range []string{"", "00", "xx", "000102030405060708090a0b0c0d0e0f10"} {
		if read, err := ParseFingerprint(text); err == nil || !read.IsZero() {
			t.Errorf("%q is parsed as %v", text, read)
		}
	}
}
