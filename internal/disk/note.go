package disk

import (
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// WriteNote stores a small value under a name in a data folder, next to the log but not as a part
// of it. It is for values that are useful after a restart and whose loss does no harm. It replaces the
// previous value durably, or not at all.
func WriteNote(fs FileSystem, folder, name string, value any) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return ioError(name, 0, err)
	}
	return writeAtomically(fs, filepath.Join(folder, name), appendFrame(nil, 0, payload))
}

// ReadNote decodes the value that WriteNote stored into value; it reports false if there is none.
// The error is an *Error.
func ReadNote(fs FileSystem, folder, name string, value any) (bool, error) {
	names, err := fs.Names(folder)
	if err != nil {
		return false, ioError(folder, 0, err)
	}
	if !slices.Contains(names, name) {
		return false, nil
	}
	data, err := fs.Read(filepath.Join(folder, name))
	if err != nil {
		return false, ioError(name, 0, err)
	}
	f, ok := parseFrame(data)
	if !ok || f.size != int64(len(data)) {
		return false, damageError(name, 0, "the checksum does not match")
	}
	if err := cbor.Unmarshal(f.payload, value); err != nil {
		return false, &Error{Kind: KindDamaged, File: name, Cause: err}
	}
	return true, nil
}
