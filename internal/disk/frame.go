package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
)

// A segment file is a header and frames. A frame is
//
//	length    4 bytes, of the payload; zero for a mark
//	checksum  4 bytes, CRC32C of everything else in the frame
//	synced    8 bytes, how many bytes of the file were synced before the frame was written
//	payload   a log entry in CBOR
//
// All numbers are big endian. A mark is written after each sync, without a sync of its own. It shows
// a later start that everything before it was synced and may have been acknowledged.
const (
	frameHeaderBytes = 16
	maxPayloadBytes  = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one decoded frame.
type frame struct {
	synced  int64
	payload []byte
	// size is the length of the complete frame in the file.
	size int64
}

func appendFrame(buffer []byte, synced int64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, 0)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(synced))
	buffer = append(buffer, payload...)
	binary.BigEndian.PutUint32(buffer[start+4:], frameChecksum(buffer[start:]))
	return buffer
}

func frameChecksum(data []byte) uint32 {
	sum := crc32.Update(0, castagnoli, data[:4])
	return crc32.Update(sum, castagnoli, data[8:])
}

// parseFrame decodes the frame at the start of data; it reports false if that frame is incomplete
// or damaged.
func parseFrame(data []byte) (frame, bool) {
	if len(data) < frameHeaderBytes {
		return frame{}, false
	}
	length := int(binary.BigEndian.Uint32(data))
	if length > maxPayloadBytes || length > len(data)-frameHeaderBytes {
		return frame{}, false
	}
	data = data[:frameHeaderBytes+length]
	if binary.BigEndian.Uint32(data[4:]) != frameChecksum(data) {
		return frame{}, false
	}
	synced := binary.BigEndian.Uint64(data[8:])
	if synced > 1<<62 {
		return frame{}, false
	}
	return frame{
		synced:  int64(synced),
		payload: data[frameHeaderBytes:],
		size:    int64(len(data)),
	}, true
}

func encodeEntry(e message.LogEntry) ([]byte, error) { return cbor.Marshal(e) }

func decodeEntry(payload []byte) (message.LogEntry, error) {
	var e message.LogEntry
	err := cbor.Unmarshal(payload, &e)
	return e, err
}
