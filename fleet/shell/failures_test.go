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

// logText is a log output that a test can read while it is written.
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

// count returns the number of lines that contain all parts.
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

// logTo makes a node write its log to output.
func logTo(output *logText) func(*shell.Options) {
	return func(options *shell.Options) { options.Log = eventlog.New(output, eventlog.Options{}) }
}

// TestUnreadableRecordsAreLogged guards against records that are skipped silently: each node
// record that can't be decoded must be logged once, and its deletion must not be.
func TestUnreadableRecordsAreLogged(t *testing.T) {
	d := newDeployment(t)
	for _, key := range []string{fleet.KeyLastHolder, fleet.KeyNodes + "strange", fleet.KeyNodes + "gone"} {
		if err := d.store.Put(key, "no record"); err != nil {
			t.Fatal(err)
		}
	}
	var log logText
	d.startNode("n", logTo(&log))
	for _, key := range []string{fleet.KeyLastHolder, fleet.KeyNodes + "strange", fleet.KeyNodes + "gone"} {
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
		t.Error("a deleted record was logged as unreadable")
	}
}

// leaseRefusingStore is a store that grants no leases.
type leaseRefusingStore struct {
	shell.Store
	grantCalls atomic.Int64
}

// Grant implements shell.Store.
func (s *leaseRefusingStore) Grant(context.Context, time.Duration) (int64, error) {
	s.grantCalls.Add(1)
	return 0, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no leases today")
}

// TestFailingReportIsLoggedOnce guards against a failing report that is not logged, or logged
// with each attempt: the log must name the worker once.
func TestFailingReportIsLoggedOnce(t *testing.T) {
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

// TestFailingGrantIsLoggedOnce guards against a node that can't write its records without a log
// line, or with a line for each attempt: the log must give the cause once.
func TestFailingGrantIsLoggedOnce(t *testing.T) {
	d := newDeployment(t)
	var log logText
	store := &leaseRefusingStore{}
	d.startNode("n", logTo(&log), func(options *shell.Options) {
		store.Store = options.Store
		options.Store = store
	})
	d.eventually("several grants failed and are logged", func() bool {
		return store.grantCalls.Load() > 3 && log.count("msg=call_failed") > 0
	})
	if lines := log.count("msg=call_failed", `call="store grant"`, "no leases today"); lines != 1 {
		t.Errorf("%d lines on failed grants, want 1", lines)
	}
}

// TestUnreadableLastHolderIsReplaced guards against a lease that nobody can take: a last-holder
// record that can't be decoded must be replaced by the next lease holder.
func TestUnreadableLastHolderIsReplaced(t *testing.T) {
	d := newDeployment(t)
	if err := d.store.Put(fleet.KeyLastHolder, "no record"); err != nil {
		t.Fatal(err)
	}
	var log logText
	d.startNode("n", logTo(&log))
	d.eventually("the node holds the lease", func() bool { return log.count("msg=lease_changed", "own=true") == 1 })
}
