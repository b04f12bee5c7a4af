package fleet

import (
	"strings"
	"testing"
)

// hostileRecords are malformed, extreme and invalid record values.
var hostileRecords = []string{
	"", "null", "0", `""`, "[]", "{}", "{", "\xff", "\x00", strings.Repeat("[", 20000), `{"id":7}`, `{"id":""}`, `{"id":"n","capacity":-1}`,
	`{"id":"n","capacity":1e400}`, `{"id":"n","bears":-1}`, `{"ends":7}`, `{"ends":[""],"tests":-1}`, `{"ends":["a","a"],"cleared":["a"]}`,
}

// Guards against node records that decode without an error but have no valid ID, capacity or
// store limit, and against partial entries on an error.
func FuzzDecodeNodeEntry(f *testing.F) {
	whole := NodeEntry{ID: "n1", Machine: "m", Address: "10.0.0.1:80", Zone: "z", Capacity: 0.4, Acting: true, StoreLoads: 3}
	for _, value := range append(hostileRecords, string(whole.Encode())) {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		entry, err := DecodeNodeEntry(value)
		if err == nil && (entry.ID == "" || entry.Capacity < 0 || entry.StoreLoads < 0) {
			t.Fatalf("decoded an invalid entry without an error: %+v", entry)
		}
		if err != nil && entry != (NodeEntry{}) {
			t.Fatalf("error %v, but the result is %+v", err, entry)
		}
		_ = entry.lendingPeer()
	})
}

// Guards against poison records that decode without a request, and against partial records on an
// error.
func FuzzDecodePoison(f *testing.F) {
	const key = KeyPoison + "00112233445566778899aabbccddeeff"
	for _, value := range append(hostileRecords, `{"ends":["a","b"],"cleared":["c"],"tests":2,"tester":"n"}`) {
		f.Add(key, []byte(value))
	}
	f.Add(KeyPoison, []byte("{}"))
	f.Add("x", []byte("{}"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		stored, err := DecodePoison(key, value)
		if err == nil && stored.Record.Content.IsZero() {
			t.Fatalf("decoded a record without a request: %+v", stored)
		}
		if err != nil && len(stored.Record.Ends) > 0 {
			t.Fatalf("error %v, but the result is %+v", err, stored)
		}
	})
}
