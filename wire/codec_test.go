package wire

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"

	"github.com/hamba/avro/v2"
	"github.com/sebdah/goldie/v2"
)

// TestEveryFieldSurvivesEncoding guards against fields of messages that are missing from the schema
// or from the conversion to a record.
func TestEveryFieldSurvivesEncoding(t *testing.T) {
	for kind, message := range sampleMessages() {
		requireNoZeroField(t, layouts[kind].name, reflect.ValueOf(message))
		data, err := Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, message) {
			t.Errorf("%s: got %+v, want %+v", layouts[kind].name, decoded, message)
		}
	}
	if len(sampleMessages()) != len(layouts) {
		t.Errorf("%d samples for %d kinds", len(sampleMessages()), len(layouts))
	}
}

// requireNoZeroField fails the test if a field of a sample is zero, such as a field that was added to
// a message but not to its sample. The round trip of the samples therefore covers every field.
func requireNoZeroField(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			requireNoZeroField(t, path+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice:
		if value.Len() == 0 {
			t.Errorf("%s is empty in its sample", path)
		} else if value.Type().Elem().Kind() == reflect.Struct {
			requireNoZeroField(t, path, value.Index(0))
		}
	default:
		if value.IsZero() {
			t.Errorf("%s is zero in its sample", path)
		}
	}
}

// TestGoldenMessages guards against an encoding that changes unnoticed within a version, and against
// messages of earlier versions that can no longer be written or read.
func TestGoldenMessages(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata"))
	for kind, message := range sampleMessages() {
		for _, version := range supportedVersions() {
			name := fmt.Sprintf("v%d-%s", version, layouts[kind].name)
			data, err := EncodeVersion(message, version)
			if version < introducedIn[kind] {
				if !errors.Is(err, ErrVersion) {
					t.Errorf("%s: %v, want %v", name, err, ErrVersion)
				}
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			golden.Assert(t, name, data)
			stored, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(stored)
			if err != nil {
				t.Fatal(err)
			}
			if want := asWrittenIn(message, version); !reflect.DeepEqual(decoded, want) {
				t.Errorf("%s: got %+v, want %+v", name, decoded, want)
			}
		}
	}
}

// TestNewFieldsHaveDefaults guards against a schema that earlier versions cannot read, or that cannot
// read theirs, because a new field has no default.
func TestNewFieldsHaveDefaults(t *testing.T) {
	current := mustReadTypes(schemaFile(VersionCurrent))
	compatibility := avro.NewSchemaCompatibility()
	for version := int32(VersionOldest); version < VersionCurrent; version++ {
		for name, schema := range mustReadTypes(schemaFile(version)) {
			if current[name] == nil {
				t.Errorf("%s of version %d is missing from version %d", name, version, VersionCurrent)
				continue
			}
			if err := compatibility.Compatible(current[name], schema); err != nil {
				t.Errorf("%s: current cannot read version %d: %v", name, version, err)
			}
			if err := compatibility.Compatible(schema, current[name]); err != nil {
				t.Errorf("%s: version %d cannot read current: %v", name, version, err)
			}
		}
	}
}

// TestTruncatedMessagesAreRefused guards against a truncated message that is accepted with zero
// values in place of the missing fields.
func TestTruncatedMessagesAreRefused(t *testing.T) {
	for kind, message := range sampleMessages() {
		data, err := Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		for length := range data {
			if _, err := Decode(data[:length]); err == nil {
				t.Fatalf("%s: the first %d of %d bytes were accepted", layouts[kind].name, length, len(data))
			}
		}
	}
}

// TestDecodeRefusesInvalidMessages guards against invalid input that is accepted or refused with the
// wrong error, and against messages beyond the size limit.
func TestDecodeRefusesInvalidMessages(t *testing.T) {
	mustEnvelope := func(e envelope) []byte {
		data, err := codec.Marshal(envelopeSchema, e)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, ErrMalformed},
		{"newer version", mustEnvelope(envelope{Version: VersionCurrent + 1, Kind: int32(KindHeartbeat)}), ErrVersion},
		{"older version", mustEnvelope(envelope{Version: VersionOldest - 1, Kind: int32(KindHeartbeat)}), ErrVersion},
		{"unknown kind", mustEnvelope(envelope{Version: VersionCurrent, Kind: 99}), ErrUnknownKind},
		{"truncated payload", mustEnvelope(envelope{Version: VersionCurrent, Kind: int32(KindHeartbeat), Payload: []byte{2}}), ErrMalformed},
		{"too large", make([]byte, MaxMessageBytes+maxEnvelopeBytes+1), ErrTooLarge},
	}
	for _, c := range cases {
		if _, err := Decode(c.data); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
	if _, err := Encode(ConfigurationSnapshot{Data: make([]byte, MaxMessageBytes+1)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("oversized snapshot: got %v", err)
	}
}

// TestUnknownKindsAreSkipped guards against a batch that is lost, or counted as malformed, because a
// newer node sent a kind of message that this build does not know. A truncated message must still be
// reported.
func TestUnknownKindsAreSkipped(t *testing.T) {
	known, err := Encode(CellStatusRequest{Zone: "east-1"})
	if err != nil {
		t.Fatal(err)
	}
	unknown, err := codec.Marshal(envelopeSchema, envelope{Version: VersionCurrent, Kind: 99, Payload: []byte("news")})
	if err != nil {
		t.Fatal(err)
	}
	read := func(envelopes ...[]byte) ([]Message, error) {
		body, err := codec.Marshal(batchSchema, batch{Envelopes: envelopes})
		if err != nil {
			t.Fatal(err)
		}
		return decodeBatch(body, VersionCurrent)
	}
	if messages, err := read(unknown, known); err != nil || len(messages) != 1 {
		t.Errorf("read %v, %v", messages, err)
	}
	if messages, err := read(known[:len(known)-1], known); err == nil || len(messages) != 1 {
		t.Errorf("with a truncated message: read %v, %v", messages, err)
	}
}

// TestCodecIsSafeForConcurrentUse guards against shared state in the codec, which the race detector
// reports.
func TestCodecIsSafeForConcurrentUse(t *testing.T) {
	var group sync.WaitGroup
	for kind, message := range sampleMessages() {
		group.Go(func() {
			for range 50 {
				data, err := Encode(message)
				if err != nil {
					t.Error(err)
					return
				}
				if decoded, err := Decode(data); err != nil || !reflect.DeepEqual(decoded, message) {
					t.Errorf("kind %d: got %+v, %v", kind, decoded, err)
					return
				}
			}
		})
	}
	group.Wait()
}

// FuzzDecode checks that no input makes Decode panic, and that an accepted message can be encoded and
// decoded again without a change.
func FuzzDecode(f *testing.F) {
	for kind, message := range sampleMessages() {
		for _, version := range supportedVersions() {
			if version < introducedIn[kind] {
				continue
			}
			data, err := EncodeVersion(message, version)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(first)
		if err != nil {
			t.Fatalf("an accepted message cannot be encoded: %v", err)
		}
		second, err := Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		third, err := Encode(second)
		if err != nil || string(third) != string(again) {
			t.Fatalf("the encoding changed from %x to %x, %v", again, third, err)
		}
	})
}
