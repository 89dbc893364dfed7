package disk

import (
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// WriteNote keeps a small value under a name in a data folder, beside the log and without
// a part in it: what is worth having after a restart, and no harm if it is lost. It
// replaces the one before durably, or not at all.
func WriteNote(fs FileSystem, folder, name string, value any) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return failed(name, 0, err)
	}
	return writeWhole(fs, filepath.Join(folder, name), appendFrame(nil, 0, payload))
}

// ReadNote reads what WriteNote kept into value; false means that there is none. The error
// is an *Error.
func ReadNote(fs FileSystem, folder, name string, value any) (bool, error) {
	names, err := fs.Names(folder)
	if err != nil {
		return false, failed(folder, 0, err)
	}
	if !slices.Contains(names, name) {
		return false, nil
	}
	data, err := fs.Read(filepath.Join(folder, name))
	if err != nil {
		return false, failed(name, 0, err)
	}
	f, ok := parseFrame(data)
	if !ok || f.size != int64(len(data)) {
		return false, damaged(name, 0, "the checksum does not match")
	}
	if err := cbor.Unmarshal(f.payload, value); err != nil {
		return false, &Error{Kind: KindDamaged, File: name, Cause: err}
	}
	return true, nil
}
