package inspection

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// answeringSource is a source whose peers answer with the data set by the test.
type answeringSource struct {
	Source
	backend *Backend
	data    map[string][]byte
}

func (answeringSource) Self() cluster.Node { return cluster.Node{ID: "self"} }

func (a *answeringSource) Send(address string, message wire.Message) {
	a.backend.Handle(wire.InspectionAnswer{
		From: cluster.NodeID(address), Number: message.(wire.InspectionRequest).Number, Found: true, Data: a.data[address],
	})
}

// TestUndecodableAnswerIsLoggedAndSkipped checks that an answer that cannot be decoded
// is logged and left out, while the answers of other nodes are collected.
func TestUndecodableAnswerIsLoggedAndSkipped(t *testing.T) {
	readable, err := json.Marshal([]string{"b1", "b2"})
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	source := &answeringSource{data: map[string][]byte{"a": []byte(`{"no":"list"}`), "b": readable}}
	source.backend = New(source, time.Minute, slog.New(slog.NewTextHandler(&text, nil)))
	nodes := []cluster.Node{{ID: "a", PeerAddress: "a"}, {ID: "b", PeerAddress: "b"}}
	got := collect(context.Background(), source.backend, nodes, subjectQueues, "", []string{"own"})
	if !slices.Equal(got, []string{"own", "b1", "b2"}) {
		t.Errorf("collected %q", got)
	}
	if log := text.String(); strings.Count(log, "\n") != 1 || !strings.Contains(log, "peer=a subject=queues") {
		t.Errorf("log %q, want one line for the answer of node a", log)
	}
}
