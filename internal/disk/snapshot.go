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

// A snapshot file is the magic, a frame with the meta data, the state itself
// and a CRC32C of the state.
const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".state"
	snapshotMagic  = "oriosnp1"
	checksumBytes  = 4
	// keepSnapshots is how many snapshots stay: one may be on its way to
	// another member while the next is made.
	keepSnapshots = 2
)

// snapshotFile is one snapshot in the folder.
type snapshotFile struct {
	index uint64
	path  string
	// offset and size tell where the state is in the file.
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
		return snapshotFile{}, failed(path, 0, err)
	}
	head := appendFrame([]byte(snapshotMagic), 0, meta)
	sum := binary.BigEndian.AppendUint32(nil, crc32.Checksum(s.Data, castagnoli))
	if err := writeWhole(fs, path, head, s.Data, sum); err != nil {
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
		return s, snapshotFile{}, damaged(name, 0, "no snapshot header")
	}
	f, ok := parseFrame(data[magic:])
	if !ok {
		return s, snapshotFile{}, damaged(name, int64(magic), "the meta data is broken")
	}
	if err := cbor.Unmarshal(f.payload, &s.Meta); err != nil {
		return s, snapshotFile{}, &Error{Kind: KindDamaged, File: name, Offset: int64(magic), Cause: err}
	}
	offset := int64(magic) + f.size
	size := int64(len(data)) - offset - checksumBytes
	if size < 0 {
		return s, snapshotFile{}, damaged(name, offset, "the state is cut short")
	}
	s.Data = data[offset : offset+size]
	if binary.BigEndian.Uint32(data[offset+size:]) != crc32.Checksum(s.Data, castagnoli) {
		return s, snapshotFile{}, damaged(name, offset, "the checksum of the state does not match")
	}
	if snapshotName(s.Meta.Index) != name {
		return s, snapshotFile{}, damaged(name, 0, "the header names another snapshot")
	}
	return s, snapshotFile{index: s.Meta.Index, offset: offset, size: size}, nil
}
