package platform

import (
	"context"
	"io"
	"strings"
	"testing"
)

// Guards against a bounded load that gets no answers or breaks a promise.
func TestBoundedLoadBreaksNoPromise(t *testing.T) {
	d, err := Start(io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	var text strings.Builder
	d.PrintAddresses(&text)
	if !strings.Contains(text.String(), "/draft/") {
		t.Errorf("announcement %q", text.String())
	}
	report := d.Load(context.Background(), 60)
	if report.Broken() || report.Served == 0 || report.Served+report.RefusedNotRun+report.Failed != report.Sent {
		t.Errorf("report %+v", report)
	}
}
