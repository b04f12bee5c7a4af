package wire

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/valveslip/valveslip/keyvalue"
)

// TestPackedChangesRoundTrip guards against packed changes that are read differently from what was
// packed, or that are hardly smaller.
func TestPackedChangesRoundTrip(t *testing.T) {
	var changes []StoreChange
	size := 0
	for i := range 2000 {
		value := fmt.Appendf(nil, `{"service":"engine","address":"10.1.%d.%d:80","zone":"z","slots":12,"state":"ready","sequence":%d}`, i/250, i%250, i)
		changes = append(changes, StoreChange{Key: fmt.Sprintf("servers/i-%08x", i*2654435761), Value: value, Revision: keyvalue.Revision(i)})
		size += len(value)
	}
	packed, err := PackChanges(changes)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > size/3 {
		t.Errorf("%d bytes are packed into %d", size, len(packed))
	}
	read, err := UnpackChanges(packed)
	if err != nil || !reflect.DeepEqual(read, changes) {
		t.Fatalf("%d changes, %v", len(read), err)
	}
}

// TestUnpackRefusesInvalidAndOversizedContent guards against content that no node has packed, and
// against small content that expands beyond the size limit of a message.
func TestUnpackRefusesInvalidAndOversizedContent(t *testing.T) {
	bomb, err := compress(bytes.Repeat([]byte{0}, maxBodyBytes+2))
	if err != nil {
		t.Fatal(err)
	}
	otherMessage, err := Encode(ClockTold{From: "n", Sent: 1})
	if err != nil {
		t.Fatal(err)
	}
	packedOther, err := compress(otherMessage)
	if err != nil {
		t.Fatal(err)
	}
	for name, packed := range map[string][]byte{"nothing": {}, "no packed bytes": []byte("xyz"), "too much": bomb, "another message": packedOther} {
		if changes, err := UnpackChanges(packed); err == nil {
			t.Errorf("%s: read as %d changes", name, len(changes))
		}
	}
	if _, err := UnpackChanges(bomb); !errors.Is(err, ErrTooLarge) {
		t.Errorf("too much: %v", err)
	}
}
