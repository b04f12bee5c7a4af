package shell_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/verdict"
)

// logText is a log that a test reads while it is written.
type logText struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (l *logText) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(data)
}

// String implements fmt.Stringer.
func (l *logText) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// count counts the lines that hold all of the parts.
func (l *logText) count(parts ...string) int {
	lines := 0
	for line := range strings.Lines(l.String()) {
		holds := true
		for _, part := range parts {
			holds = holds && strings.Contains(line, part)
		}
		if holds {
			lines++
		}
	}
	return lines
}

// logTo has a node write its log there.
func logTo(output *logText) func(*shell.Options) {
	return func(options *shell.Options) { options.Log = eventlog.New(output, eventlog.Options{}) }
}

// TestUnreadableRecordsAreLogged: records of nodes that can't be read are passed over
// with a line each, those that are deleted without one.
func TestUnreadableRecordsAreLogged(t *testing.T) {
	d := newDeployment(t)
	for _, key := range []string{fleet.KeyLast, fleet.KeyNodes + "strange", fleet.KeyNodes + "gone"} {
		if err := d.store.Put(key, "no record"); err != nil {
			t.Fatal(err)
		}
	}
	var log logText
	d.startNode("n", logTo(&log))
	for _, key := range []string{fleet.KeyLast, fleet.KeyNodes + "strange", fleet.KeyNodes + "gone"} {
		d.eventually("the log names "+key, func() bool { return log.count("msg=record_unreadable", "key="+key, "cause=") == 1 })
	}
	if err := d.store.Put(fleet.KeyHolder, "no record"); err != nil {
		t.Fatal(err)
	}
	d.eventually("the log names the holder's record", func() bool {
		return log.count("msg=record_unreadable", "key="+fleet.KeyHolder) == 1
	})
	d.store.Remove(fleet.KeyNodes + "gone")
	d.configure(2)
	d.eventually("the next change is in force", func() bool { return log.count("msg=configuration_in_force", "config=2") == 1 })
	if log.count("key="+fleet.KeyNodes+"gone") != 1 {
		t.Error("a deleted record is said to be unreadable")
	}
}

// withoutLeases is a store that grants no lease.
type withoutLeases struct {
	shell.Store
	asked atomic.Int64
}

// Grant implements shell.Store.
func (s *withoutLeases) Grant(context.Context, time.Duration) (int64, error) {
	s.asked.Add(1)
	return 0, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no leases today")
}

// TestReportsThatFailAreLoggedOnce: the log names a worker whose report is wanted for an
// order and can't be read.
func TestReportsThatFailAreLoggedOnce(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("i-down", engineService, nil)
	d.workers["i-down"].Kill()
	var log logText
	node := d.startNode("n", logTo(&log))
	failed := func() int { return log.count("msg=call_failed", `call="engine report"`, "machine=i-down") }
	d.eventually("the log names the worker that does not report", func() bool {
		d.call(node, http.MethodPost, "/stream/", "p", func(header http.Header) {
			withModel("rare")(header)
			header.Set(platform.HeaderDeadline, "300")
		})
		return failed() > 0
	})
	if lines := log.count("msg=call_failed"); lines != 1 {
		t.Errorf("%d lines on one worker that is down, want 1", lines)
	}
}

// TestGrantsThatFailAreLoggedOnce: the log names the cause for which a node can't write
// its records, once.
func TestGrantsThatFailAreLoggedOnce(t *testing.T) {
	d := newDeployment(t)
	var log logText
	store := &withoutLeases{}
	d.startNode("n", logTo(&log), func(options *shell.Options) {
		store.Store = options.Store
		options.Store = store
	})
	d.eventually("several grants failed and are logged", func() bool {
		return store.asked.Load() > 3 && log.count("msg=call_failed") > 0
	})
	if lines := log.count("msg=call_failed", `call="store grant"`, "no leases today"); lines != 1 {
		t.Errorf("%d lines on failed grants, want 1", lines)
	}
}

// TestUnreadableLastHolderIsReplaced: a record of the last holder that can't be read keeps
// nobody from becoming the holder, who replaces it.
func TestUnreadableLastHolderIsReplaced(t *testing.T) {
	d := newDeployment(t)
	if err := d.store.Put(fleet.KeyLast, "no record"); err != nil {
		t.Fatal(err)
	}
	var log logText
	d.startNode("n", logTo(&log))
	d.eventually("the node holds the lease", func() bool { return log.count("msg=lease_changed", "own=true") == 1 })
}
