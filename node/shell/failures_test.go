package shell_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell"
	"github.com/valveslip/valveslip/wire"
)

// repeatedCallsCore requests the same calls on each tick and passes on their answers.
type repeatedCallsCore struct {
	effects []node.Effect
	answers chan node.Event
}

// Step implements shell.Stepper.
func (c *repeatedCallsCore) Step(_ time.Time, event node.Event) []node.Effect {
	switch event.(type) {
	case node.Tick:
		return c.effects
	case node.MachinesListed, node.EngineAnswered:
		select {
		case c.answers <- event:
		default:
		}
	}
	return nil
}

// failingMachineList is a machine list whose reads fail.
type failingMachineList struct{}

func (failingMachineList) List(context.Context) ([]cluster.Machine, uint64, error) {
	return nil, 0, errors.New("list unavailable")
}

// failingEngines is an engine client whose load reports fail.
type failingEngines struct{ shell.EngineClient }

func (failingEngines) Report(context.Context, string) (cluster.LoadReport, error) {
	return cluster.LoadReport{}, errors.New("engine unavailable")
}

// TestRepeatedCallFailuresAreLoggedOncePerTarget checks that a call that keeps failing
// for the same reason is logged once per target, and that an undecodable stored record
// is logged.
func TestRepeatedCallFailuresAreLoggedOncePerTarget(t *testing.T) {
	var mutex sync.Mutex
	var text bytes.Buffer
	logger := slog.New(slog.NewTextHandler(lockedWriter{&mutex, &text}, nil))
	core := &repeatedCallsCore{answers: make(chan node.Event), effects: []node.Effect{
		node.ListMachines{},
		node.EngineCall{Operation: node.EngineReport, Machine: cluster.Machine{ID: "m1"}},
		node.RecordUnreadable{Key: "/k", Err: errors.New("no record")},
	}}
	running, err := shell.Start(context.Background(), node.Config{
		Zone: zone, CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", DrainTime: time.Second,
	}, shell.Options{
		Logger: logger, Machines: failingMachineList{}, Engines: failingEngines{engine.NewClient()},
		NewCore:      func(cluster.Node) shell.Stepper { return core },
		NewTransport: func(string, func(wire.Message)) (shell.Transport, error) { return noTransport{}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Kill)
	for lists, reports := 0, 0; lists < 3 || reports < 3; {
		switch (<-core.answers).(type) {
		case node.MachinesListed:
			lists++
		case node.EngineAnswered:
			reports++
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	for _, line := range []string{
		`msg="call failed" node=` + string(running.Self().ID) + ` target=machine-list call=list machine="" error="list unavailable"`,
		`msg="call failed" node=` + string(running.Self().ID) + ` target=engine call=report machine=m1 error="engine unavailable"`,
	} {
		if count := strings.Count(text.String(), line); count != 1 {
			t.Errorf("%d lines %s, want 1, in:\n%s", count, line, text.String())
		}
	}
	if !strings.Contains(text.String(), `msg="cannot decode stored record" node=`+string(running.Self().ID)+` key=/k error="no record"`) {
		t.Errorf("undecodable record is not logged in:\n%s", text.String())
	}
}

// lockedWriter is a log buffer that a test reads while it is written.
type lockedWriter struct {
	mutex *sync.Mutex
	text  *bytes.Buffer
}

// Write implements io.Writer.
func (l lockedWriter) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(data)
}
