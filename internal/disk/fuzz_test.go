package disk

import (
	"bytes"
	"encoding/binary"
	"testing"
)

// Guards against a member that crashes on a damaged file instead of reporting it: arbitrary bytes
// are read as a segment, vote or snapshot, and a length in them is trusted.
func FuzzFiles(f *testing.F) {
	header := binary.BigEndian.AppendUint64([]byte(segmentMagic), 1)
	segment := bytes.Clone(header)
	for _, e := range entries(1, 1, 3) {
		payload, err := encodeEntry(e)
		if err != nil {
			f.Fatal(err)
		}
		segment = appendFrame(segment, int64(len(segment)), payload)
	}
	f.Add(segment)
	f.Add(segment[:len(segment)-5])
	f.Add(header)
	f.Add(appendFrame([]byte(snapshotMagic), 0, []byte{0xa0}))
	f.Add(bytes.Repeat([]byte{0xff}, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, list, torn, err := readSegment(segmentName(1), data, true)
		if err == nil {
			checkRead(t, s, len(list), torn, len(data))
		}
		_, _ = parseHard(data)
		_, _, _ = parseSnapshot(snapshotName(1), data)
	})
}

func checkRead(t *testing.T, s *segment, entries int, torn int64, size int) {
	if entries != len(s.offsets) || s.size > int64(size) {
		t.Fatalf("%d entries at %d places, %d of %d bytes", entries, len(s.offsets), s.size, size)
	}
	if torn < 0 && s.size != int64(size) {
		t.Fatalf("%d of %d bytes were read", s.size, size)
	}
}
