package eventlog

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// blockedOutput is an output whose Write blocks until it is released.
type blockedOutput struct{ release chan struct{} }

func (s *blockedOutput) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

// TestWriteDoesNotBlockOnBlockedOutput guards against requests that wait for the log:
// while the output blocks, events are counted as dropped and Write returns.
func TestWriteDoesNotBlockOnBlockedOutput(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	log := New(output, Options{QueueLength: 8, Rate: 1 << 20})
	const events = 5000
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range events {
				log.Write(RequestAccepted{Request: "r", Route: strings.Repeat("x", 200)})
			}
		})
	}
	writers.Wait()
	if log.Dropped() == 0 {
		t.Fatal("no event was dropped although the output blocks")
	}
	close(output.release)
	log.Close(time.Second)
}

// TestLinesBeyondRateAreDroppedAndAnnounced guards against one frequent kind of event that
// displaces all others, and against lines that are lost without a notice.
func TestLinesBeyondRateAreDroppedAndAnnounced(t *testing.T) {
	var output bytes.Buffer
	log := New(&output, Options{Rate: 3})
	for range 30 {
		log.Write(RequestAccepted{Request: "r"})
	}
	log.Write(NodeStopping{InFlight: 2})
	log.Close(10 * time.Second)
	text := output.String()
	if !strings.Contains(text, "msg=lines_dropped lines=request_accepted count=") {
		t.Errorf("no line announces the dropped lines:\n%s", text)
	}
	if !strings.Contains(text, "msg=node_stopping in_flight=2") {
		t.Errorf("another kind was dropped too:\n%s", text)
	}
}

// fullDiskOutput is an output that accepts nothing while it is full, except for half of
// the first write.
type fullDiskOutput struct {
	mutex        sync.Mutex
	full         bool
	firstRefusal chan struct{}
	written      bytes.Buffer
}

func (d *fullDiskOutput) Write(data []byte) (int, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.full {
		return d.written.Write(data)
	}
	half := 0
	if d.firstRefusal != nil {
		half, _ = d.written.Write(data[:len(data)/2])
		close(d.firstRefusal)
		d.firstRefusal = nil
	}
	return half, syscall.ENOSPC
}

func (d *fullDiskOutput) setFree() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = false
}

// TestLogOutlivesFullDisk guards against a log that stays silent after a write error.
// Lines that the output did not accept are counted by kind and announced once it accepts
// lines again; later lines are written whole.
func TestLogOutlivesFullDisk(t *testing.T) {
	firstRefusal := make(chan struct{})
	output := &fullDiskOutput{full: true, firstRefusal: firstRefusal}
	log := New(output, Options{})
	log.Write(RequestAccepted{Request: "lost"})
	log.Write(RequestAccepted{Request: "lost"})
	log.Write(NodeStopping{InFlight: 1})
	<-firstRefusal
	output.setFree()
	log.Write(RequestEnded{Request: "kept"})
	log.Close(10 * time.Second)
	lines := strings.Split(output.written.String(), "\n")
	for _, want := range []string{
		"msg=lines_dropped lines=request_accepted count=2", "msg=lines_dropped lines=node_stopping count=1", "msg=request_ended request=kept",
	} {
		if !slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, "time=") && strings.Contains(line, want) }) {
			t.Errorf("no whole line %q in:\n%s", want, output.written.String())
		}
	}
	if log.Dropped() != 3 {
		t.Errorf("%d lines count as dropped, want 3", log.Dropped())
	}
}

// TestLinesAreKeyValuePairs guards against a line format that log tools can't parse.
func TestLinesAreKeyValuePairs(t *testing.T) {
	var output bytes.Buffer
	log := New(&output, Options{Node: "n1"})
	log.Write(RequestEnded{Request: "r1", Status: 200, Code: "served", Took: 1500 * time.Microsecond})
	log.Close(10 * time.Second)
	line := output.String()
	for _, part := range []string{"msg=request_ended", "node=n1", "request=r1", "status=200", "took_ms=1.5"} {
		if !strings.Contains(line, part) {
			t.Errorf("line %q lacks %s", line, part)
		}
	}
	if strings.Contains(line, "retry_after_ms") {
		t.Errorf("line %q has a field with a zero value", line)
	}
}

// TestReferenceMatchesGeneratedPage guards against a reference page that is out of date.
func TestReferenceMatchesGeneratedPage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../docs/operations"), goldie.WithNameSuffix(".md")).
		Assert(t, "log-events", []byte(Reference()))
}

// TestEveryEventHasKindAndMeaning guards against events that the reference page would show
// without a name or a description.
func TestEveryEventHasKindAndMeaning(t *testing.T) {
	for _, event := range All() {
		if event.Kind() == "" || event.Meaning() == "" {
			t.Errorf("%T has no kind or meaning", event)
		}
	}
}
