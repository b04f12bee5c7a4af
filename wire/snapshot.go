package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// packedVersion is the version that packed changes are written in: the first that has snapshots,
// so that every build that knows them reads what any other packed.
const packedVersion = 8

// PackChanges encodes and compresses changes, once for all nodes that they are sent to.
func PackChanges(changes []StoreChange) ([]byte, error) {
	encoded, err := EncodeVersion(StoreChanges{Changes: changes}, packedVersion)
	if err != nil {
		return nil, err
	}
	return compress(encoded)
}

// UnpackChanges reads what PackChanges made. What is packed may have MaxMessageBytes.
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
	changes, are := decoded.(StoreChanges)
	if !are {
		return nil, eris.Wrapf(ErrMalformed, "%T in place of changes", decoded)
	}
	return changes.Changes, nil
}
