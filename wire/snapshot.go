package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// packedVersion is the schema version of packed changes. It is the first version with snapshots, so
// that every build that supports snapshots can read it.
const packedVersion = 8

// PackChanges encodes and compresses changes. The result does not depend on the receiver and can be
// sent to several nodes.
func PackChanges(changes []StoreChange) ([]byte, error) {
	encoded, err := EncodeVersion(StoreChanges{Changes: changes}, packedVersion)
	if err != nil {
		return nil, err
	}
	return compress(encoded)
}

// UnpackChanges returns the changes encoded by PackChanges. It fails with ErrTooLarge if they exceed
// the size limit of a message after decompression.
func UnpackChanges(packed []byte) ([]StoreChange, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, eris.Wrap(ErrMalformed, err.Error())
	case len(encoded) > maxBodyBytes:
		return nil, ErrTooLarge
	}
	decoded, err := Decode(encoded)
	if err != nil {
		return nil, err
	}
	changes, isChanges := decoded.(StoreChanges)
	if !isChanges {
		return nil, eris.Wrapf(ErrMalformed, "packed changes contain a %T", decoded)
	}
	return changes.Changes, nil
}
