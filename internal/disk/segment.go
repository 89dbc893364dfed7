package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	segmentPrefix      = "log-"
	segmentSuffix      = ".segment"
	segmentMagic       = "oriolog1"
	segmentHeaderBytes = int64(len(segmentMagic)) + 8
)

// segment is one file of the log. Only the last one is open for writing.
type segment struct {
	path  string
	first uint64
	// offsets are the places of the entries' frames in the file.
	offsets []int64
	size    int64
	// synced is the size of the durable part of the file.
	synced int64
	file   File
}

func segmentName(first uint64) string {
	return fmt.Sprintf("%s%020d%s", segmentPrefix, first, segmentSuffix)
}

func isSegment(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix)
}

func (s *segment) next() uint64 { return s.first + uint64(len(s.offsets)) }

// createSegment creates an empty segment and makes it durable.
func createSegment(fs FileSystem, folder string, first uint64) (*segment, error) {
	path := filepath.Join(folder, segmentName(first))
	header := binary.BigEndian.AppendUint64([]byte(segmentMagic), first)
	if err := writeAtomically(fs, path, header); err != nil {
		return nil, err
	}
	file, err := fs.Append(path)
	if err != nil {
		return nil, ioError(path, 0, err)
	}
	return &segment{
		path: path, first: first, file: file,
		size: segmentHeaderBytes, synced: segmentHeaderBytes,
	}, nil
}

// write appends entries without syncing them. If the disk is full, nothing of them remains.
func (s *segment) write(entries []message.LogEntry) error {
	var buffer []byte
	offsets := make([]int64, 0, len(entries))
	for _, e := range entries {
		payload, err := encodeEntry(e)
		if err != nil {
			return ioError(s.path, s.size, err)
		}
		offsets = append(offsets, s.size+int64(len(buffer)))
		buffer = appendFrame(buffer, s.synced, payload)
	}
	if err := s.writeRaw(buffer); err != nil {
		return err
	}
	s.offsets = append(s.offsets, offsets...)
	return nil
}

func (s *segment) writeRaw(buffer []byte) error {
	_, err := s.file.Write(buffer)
	if err == nil {
		s.size += int64(len(buffer))
		return nil
	}
	wrapped := ioError(s.path, s.size, err)
	if cut := s.file.Truncate(s.size); cut != nil {
		return &Error{
			Kind: KindIO, File: filepath.Base(s.path), Offset: s.size,
			Cause: errors.Join(err, cut),
		}
	}
	return wrapped
}

// sync makes everything written so far durable.
func (s *segment) sync() error {
	if err := s.file.Sync(); err != nil {
		return syncError(s.path, err)
	}
	s.synced = s.size
	return nil
}

// mark records in the file that everything before it is synced.
//
// Without the mark, damage to the last entries of the file could not be distinguished from a write
// that a crash cut short, and they would be dropped without an error.
func (s *segment) mark() error { return s.writeRaw(appendFrame(nil, s.synced, nil)) }

// truncate drops the entries from index on and syncs the file.
//
// Without the sync a crash could leave new frames in front of old ones, which looks like damage in
// the middle of the file.
func (s *segment) truncate(from uint64) error {
	keep := from - s.first
	offset := s.offsets[keep]
	if err := s.file.Truncate(offset); err != nil {
		return ioError(s.path, offset, err)
	}
	s.offsets = s.offsets[:keep]
	s.size = offset
	return s.sync()
}

// readSegment decodes a segment. Only the last one may end in a torn frame; torn is the offset of
// that frame, or -1.
func readSegment(name string, data []byte, last bool) (s *segment, entries []message.LogEntry, torn int64, err error) {
	if int64(len(data)) < segmentHeaderBytes || string(data[:len(segmentMagic)]) != segmentMagic {
		return nil, nil, 0, damageError(name, 0, "the segment header is missing or damaged")
	}
	s = &segment{first: binary.BigEndian.Uint64(data[len(segmentMagic):])}
	if segmentName(s.first) != name {
		return nil, nil, 0, damageError(name, 0, "the index in the header does not match the file name")
	}
	offset := segmentHeaderBytes
	for offset < int64(len(data)) {
		f, ok := parseFrame(data[offset:])
		if !ok {
			if err := checkTorn(name, data, offset, last); err != nil {
				return nil, nil, 0, err
			}
			s.size = offset
			return s, entries, offset, nil
		}
		if len(f.payload) > 0 {
			e, err := decodeEntry(f.payload)
			if err != nil || e.Index != s.next() {
				return nil, nil, 0, damageError(name, offset, "the frame does not contain the next entry")
			}
			s.offsets = append(s.offsets, offset)
			entries = append(entries, e)
		}
		offset += f.size
	}
	s.size = offset
	return s, entries, -1, nil
}

// checkTorn distinguishes a write that a crash cut short from damage. If any later frame shows that
// this place was synced before that frame was written, an entry that may have been accepted is
// lost, and must not be dropped without an error.
func checkTorn(name string, data []byte, offset int64, last bool) error {
	if !last {
		return damageError(name, offset, "a frame in a sealed segment is damaged")
	}
	for at := offset + 1; at+frameHeaderBytes <= int64(len(data)); at++ {
		f, ok := parseFrame(data[at:])
		if ok && f.synced > offset && f.synced <= at {
			return damageError(name, offset, "a synced frame is damaged")
		}
	}
	return nil
}

func damageError(name string, offset int64, detail string) error {
	return &Error{Kind: KindDamaged, File: name, Offset: offset, Detail: detail}
}
