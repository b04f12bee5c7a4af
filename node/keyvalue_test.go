package node

import (
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/settings"
)

// unreadableKeys returns the keys that the effects report as unreadable.
func unreadableKeys(effects []Effect) string {
	var keys []string
	for _, effect := range effects {
		if record, ok := effect.(RecordUnreadable); ok && record.Err != nil {
			keys = append(keys, record.Key)
		}
	}
	return strings.Join(keys, " ")
}

// TestUnreadableRecordsAreReportedAndWatchContinues checks that an allotment, an edit
// or a settings tree that cannot be decoded is reported with its key, and that the
// node continues to watch with the data it had.
func TestUnreadableRecordsAreReportedAndWatchContinues(t *testing.T) {
	n := newCoreFixture(t, "c", time.Unix(1_000_000, 0))
	n.becomeController()
	n.step(Tick{})
	broken := func(key string) keyvalue.KeyValue {
		return keyvalue.KeyValue{Key: key, Value: []byte("{"), ModRevision: 20}
	}
	changed := func(key string) string {
		return unreadableKeys(n.step(WatchDelivered{ID: n.core.keyValue.watchCallID, Batch: keyvalue.WatchBatch{
			Revision: 20, Events: []keyvalue.Event{{KeyValue: broken(key)}},
		}}))
	}
	allotment := authority.AllotmentKeyPrefix + "z"
	if got := changed(allotment); got != allotment {
		t.Errorf("changed allotment: reported %q, want %q", got, allotment)
	}
	if got := changed(settings.KeyPrefix + "history/0000000000000001/0"); got != settings.KeyPrefix {
		t.Errorf("edit: reported %q, want %q", got, settings.KeyPrefix)
	}
	answer := KeyValueAnswered{ID: n.core.keyValue.readCallID, Revision: 21, Pairs: []keyvalue.KeyValue{broken(allotment), broken(settings.KeyPrefix + "head")}}
	if got, want := unreadableKeys(n.step(answer)), allotment+" "+settings.KeyPrefix; got != want {
		t.Errorf("initial read: reported %q, want %q", got, want)
	}
	if n.core.keyValue.watchCallID == 0 {
		t.Error("node does not watch after an unreadable read")
	}
}
