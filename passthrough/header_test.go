package passthrough

import (
	"maps"
	"net/http"
	"slices"
	"testing"
)

// TestConnectionFieldsAreNotForwarded: fields of the connection, and fields that the Connection
// field names, are not copied. Fields that the other connection has already set stay, and the
// source is unchanged.
func TestConnectionFieldsAreNotForwarded(t *testing.T) {
	from := http.Header{
		"Connection": {"keep-alive, x-mine", "X-Other"}, "Keep-Alive": {"5"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"X-Mine": {"1"}, "X-Other": {"2"}, "X-Passed": {"3", "4"},
	}
	before := from.Clone()
	to := http.Header{"Connection": {"close"}, "X-Mine": {"own"}}
	copyEndToEnd(to, from)
	want := http.Header{"Connection": {"close"}, "X-Mine": {"own"}, "X-Passed": {"3", "4"}}
	if !maps.EqualFunc(to, want, slices.Equal) {
		t.Errorf("forwarded fields %v, want %v", to, want)
	}
	passed := endToEnd(from)
	passed.Set("X-Passed", "5")
	passed.Del("X-Other")
	if !maps.EqualFunc(from, before, slices.Equal) {
		t.Errorf("source fields changed from %v to %v", before, from)
	}
}
