package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// A snapshot file consists of the magic bytes, a frame with the metadata, the state and a CRC32C of
// the state.
const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".state"
	snapshotMagic  = "oriosnp1"
	checksumBytes  = 4
	// keepSnapshots is the number of snapshots that are kept: one may still be sent to another
	// member while the next is made.
	keepSnapshots = 2
)

// snapshotFile is one snapshot in the folder.
type snapshotFile struct {
	index uint64
	path  string
	// offset and size are the place of the state in the file.
	offset, size int64
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%020d%s", snapshotPrefix, index, snapshotSuffix)
}

func isSnapshot(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix)
}

func writeSnapshot(fs FileSystem, folder string, s agreement.Snapshot) (snapshotFile, error) {
	path := filepath.Join(folder, snapshotName(s.Meta.Index))
	meta, err := cbor.Marshal(s.Meta)
	if err != nil {
		return snapshotFile{}, ioError(path, 0, err)
	}
	head := appendFrame([]byte(snapshotMagic), 0, meta)
	sum := binary.BigEndian.AppendUint32(nil, crc32.Checksum(s.Data, castagnoli))
	if err := writeAtomically(fs, path, head, s.Data, sum); err != nil {
		return snapshotFile{}, err
	}
	return snapshotFile{
		index: s.Meta.Index, path: path,
		offset: int64(len(head)), size: int64(len(s.Data)),
	}, nil
}

func parseSnapshot(name string, data []byte) (agreement.Snapshot, snapshotFile, error) {
	var s agreement.Snapshot
	magic := len(snapshotMagic)
	if len(data) < magic || string(data[:magic]) != snapshotMagic {
		return s, snapshotFile{}, damageError(name, 0, "the snapshot header is missing or damaged")
	}
	f, ok := parseFrame(data[magic:])
	if !ok {
		return s, snapshotFile{}, damageError(name, int64(magic), "the frame of the metadata is damaged")
	}
	if err := cbor.Unmarshal(f.payload, &s.Meta); err != nil {
		return s, snapshotFile{}, &Error{Kind: KindDamaged, File: name, Offset: int64(magic), Cause: err}
	}
	offset := int64(magic) + f.size
	size := int64(len(data)) - offset - checksumBytes
	if size < 0 {
		return s, snapshotFile{}, damageError(name, offset, "the state is incomplete")
	}
	s.Data = data[offset : offset+size]
	if binary.BigEndian.Uint32(data[offset+size:]) != crc32.Checksum(s.Data, castagnoli) {
		return s, snapshotFile{}, damageError(name, offset, "the checksum of the state does not match")
	}
	if snapshotName(s.Meta.Index) != name {
		return s, snapshotFile{}, damageError(name, 0, "the index in the metadata does not match the file name")
	}
	return s, snapshotFile{index: s.Meta.Index, offset: offset, size: size}, nil
}
