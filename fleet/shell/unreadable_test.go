package shell_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// withJSONFields returns a worker's entry with the given fields set to other JSON values, or
// removed if the value is empty.
func withJSONFields(t *testing.T, entry platform.WorkerDocument, changes map[string]string) []byte {
	t.Helper()
	encoded, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &fields); err != nil {
		t.Fatal(err)
	}
	for name, value := range changes {
		fields[name] = json.RawMessage(value)
		if value == "" {
			delete(fields, name)
		}
	}
	encoded, err = json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// unreadableEntries returns entries that describe no usable worker, by what is wrong with them.
func unreadableEntries(t *testing.T, entry platform.WorkerDocument) map[string][]byte {
	t.Helper()
	entries := map[string][]byte{
		"no bytes": {}, "no JSON": []byte("\xff\x00{"), "null": []byte("null"), "a list": []byte("[1]"), "cut": []byte(`{"service":"pl`),
	}
	for name, values := range map[string][]string{
		"service": {"", "7", `""`}, "address": {"", "7", `""`, `"127.0.0.1"`, `"127.0.0.1:0"`, `"127.0.0.1:x"`},
		"zone": {"", "7", `""`}, "slots": {"", `"8"`, "0", "-3", "1.5", "1e40"}, "state": {"", "7", `"asleep"`}, "version": {"{}"},
		"sequence": {`"x"`}, "models": {`"big"`, `[{"name":""}]`},
	} {
		for _, value := range values {
			entries[name+" "+value] = withJSONFields(t, entry, map[string]string{name: value})
		}
	}
	return entries
}

// TestUnreadableEntryAddsNoWorker guards against an entry that can't be decoded and adds a worker
// or replaces a known one; all other entries must stay in use.
func TestUnreadableEntryAddsNoWorker(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	good := d.addWorker("p1", plainService, nil)
	removed := d.addWorker("p2", plainService, nil)
	d.store.Remove(removed.Key())
	entries := unreadableEntries(t, removed.Entry())
	number := 0
	for _, entry := range entries {
		number++
		if err := d.store.PutBytes(fmt.Sprintf("%sx%d", platform.PrefixWorkers, number), entry); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.store.PutBytes(platform.PrefixWorkers, withJSONFields(t, removed.Entry(), nil)); err != nil {
		t.Fatal(err)
	}
	node := d.startNode("n1")
	for what, entry := range entries {
		// The entry is written once more, like a heartbeat.
		number++
		if err := d.store.PutBytes(fmt.Sprintf("%sx%d", platform.PrefixWorkers, number), entry); err != nil {
			t.Fatal(err)
		}
		for range 4 {
			if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK || !strings.HasSuffix(got.body, "from p1") {
				t.Fatalf("after %s: answer %+v", what, got)
			}
		}
	}
	if len(removed.Runs()) != 0 || len(good.Runs()) == 0 {
		t.Fatalf("%d requests went to a worker without a valid entry", len(removed.Runs()))
	}
	d.eventually("all of them are counted", func() bool {
		return metric(node, `valveslip_records_unreadable_total{kind="worker"}`) >= float64(2*len(entries)+1)
	})
}

// TestUnreadableEntryKeepsKnownWorker guards against losing a known worker because its entry
// can't be decoded, also after a full read of the store. The worker must stay in use until the
// entry is deleted, unless it was known to be leaving or the unreadable entry says so.
func TestUnreadableEntryKeepsKnownWorker(t *testing.T) {
	for _, test := range []struct {
		name  string
		first string
		entry func(*testing.T, platform.WorkerDocument) []byte
		used  bool
	}{
		{"no JSON", "ready", func(*testing.T, platform.WorkerDocument) []byte { return []byte("{") }, true},
		{"no state", "ready", func(t *testing.T, e platform.WorkerDocument) []byte {
			return withJSONFields(t, e, map[string]string{"state": ""})
		}, true},
		{"no address", "ready", func(t *testing.T, e platform.WorkerDocument) []byte {
			return withJSONFields(t, e, map[string]string{"address": ""})
		}, true},
		{"no slots, leaving", "ready", func(t *testing.T, e platform.WorkerDocument) []byte {
			return withJSONFields(t, e, map[string]string{"slots": "", "state": `"draining"`})
		}, false},
		{"another state", "ready", func(t *testing.T, e platform.WorkerDocument) []byte {
			return withJSONFields(t, e, map[string]string{"state": `"asleep"`})
		}, false},
		{"no JSON after it left", "draining", func(*testing.T, platform.WorkerDocument) []byte { return []byte("{") }, false},
		{"ready without slots after it left", "draining", func(t *testing.T, e platform.WorkerDocument) []byte {
			return withJSONFields(t, e, map[string]string{"slots": "", "state": `"ready"`})
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withoutLatencyObjective)
			known := d.addWorker("p1", plainService, nil)
			entry := known.Entry()
			entry.State = test.first
			if err := d.store.Put(known.Key(), entry); err != nil {
				t.Fatal(err)
			}
			node, clock, _ := d.startSuspendableNode("n1")
			if err := d.store.PutBytes(known.Key(), test.entry(t, entry)); err != nil {
				t.Fatal(err)
			}
			unread := func() float64 { return metric(node, `valveslip_records_unreadable_total{kind="worker"}`) }
			// It is counted again if the machine stalls and the node reads everything again.
			d.eventually("the entry was read", func() bool { return unread() >= 1 })
			servedWithin := func(deadline string) bool {
				within := func(h http.Header) { h.Set(platform.HeaderDeadline, deadline) }
				return d.callUnlessLate(node, http.MethodPost, "/write/", "b", within).status == http.StatusOK
			}
			served := func() bool { return servedWithin("400") }
			// The entry is counted shortly before it takes effect.
			d.eventually("the worker is used as expected", func() bool { return served() == test.used })
			// A node that detects a pause reads everything again.
			before := unread()
			clock.suspend(5 * time.Second)
			d.eventually("everything was read again", func() bool { return unread() > before })
			if test.used && !servedWithin("6000") || !test.used && served() {
				t.Fatalf("after everything was read again, the worker is used: %t", !test.used)
			}
			d.register(known)
			d.eventually("the worker is used once its entry can be read", served)
			if err := d.store.PutBytes(known.Key(), []byte("{")); err != nil {
				t.Fatal(err)
			}
			d.store.Remove(known.Key())
			d.eventually("the worker is not used once the entry is deleted", func() bool { return !served() })
		})
	}
}

// TestUnreadableHeartbeatsAreLoggedOnce guards against a log line for each heartbeat of an entry
// that stays unreadable: it must be logged and counted once.
func TestUnreadableHeartbeatsAreLoggedOnce(t *testing.T) {
	d := newDeployment(t)
	known := d.addWorker("p1", plainService, nil)
	output := &logText{}
	node := d.startNode("n1", func(o *shell.Options) { o.Log = eventlog.New(output, eventlog.Options{}) })
	for n := range 20 {
		entry := withJSONFields(t, known.Entry(), map[string]string{"slots": `"many"`, "sequence": fmt.Sprint(n)})
		if err := d.store.PutBytes(known.Key(), entry); err != nil {
			t.Fatal(err)
		}
	}
	d.configure(2)
	d.eventually("the later configuration is in force", func() bool { return metric(node, "valveslip_configuration_version") == 2 })
	if count := metric(node, `valveslip_records_unreadable_total{kind="worker"}`); count != 1 {
		t.Errorf("counted %v times", count)
	}
	d.eventually("the line is written", func() bool { return strings.Contains(output.String(), "config=2") })
	if lines := strings.Count(output.String(), "msg=worker_unreadable"); lines != 1 {
		t.Errorf("%d lines", lines)
	}
}

// TestUnreadableNodeRecordsAreSkipped guards against node records that can't be decoded, or that
// name another node than their key, being used: they must be skipped and counted.
func TestUnreadableNodeRecordsAreSkipped(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	d.addWorker("p1", plainService, nil)
	for key, value := range map[string]string{"a": "{", "b": "null", "c": `{"id":"d","address":"127.0.0.1:1"}`, "e": `{"id":7}`, "f": `{"id":"f","capacity":-1}`} {
		if err := d.store.PutBytes(fleet.KeyNodes+key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	node := d.startNode("n1")
	if got := d.call(node, http.MethodGet, "/read/", "", nil); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	if count := metric(node, `valveslip_records_unreadable_total{kind="node"}`); count != 5 {
		t.Fatalf("%v records are counted, want 5", count)
	}
}
