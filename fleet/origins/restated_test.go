package origins

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/wire"
)

// TestChangedReleaseIsReplicatedAgain guards against owners that keep the release at which a stream was first taken
// to have begun, after the node that relays it has found that to be wrong.
func TestChangedReleaseIsReplicatedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(Peer{ID: "n1", Address: "a1"})
	core.Step(now, PeersChanged{Peers: []Peer{{ID: "n2", Address: "a2"}, {ID: "n3", Address: "a3"}}})
	core.Step(now, ServiceChanged{Service: "s", Mixed: true})
	for _, c := range []struct {
		release string
		owners  int
	}{{"v1", 2}, {"v2", 2}, {"v2", 0}} {
		sent := 0
		for _, effect := range core.Step(now, Began{Request: "r", Service: "s", Release: c.release, Deadline: now.Add(time.Minute)}) {
			message, isSend := effect.(Send)
			if !isSend {
				continue
			}
			sent++
			if told := message.Message.(wire.StreamOrigins).Streams[0].Release; told != c.release {
				t.Errorf("release %q was sent, want %q", told, c.release)
			}
		}
		if sent != c.owners {
			t.Errorf("release %q was sent to %d owners, want %d", c.release, sent, c.owners)
		}
	}
}
