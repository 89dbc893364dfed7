package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
)

// A frame is the length of the rest as an unsigned varint, the length of the
// kind as one byte, the kind, and the body in CBOR.
const (
	// DefaultMaxFrameBytes is the largest frame; it holds the largest body of a
	// caller (8 MiB) and leaves room for the message's other fields.
	DefaultMaxFrameBytes = 16 << 20
	// maxKindBytes is the longest name of a kind.
	maxKindBytes = 64
	// maxLengthBytes bounds the varint of a frame's length, whose bytes carry
	// lengthShift bits each.
	maxLengthBytes = 5
	lengthShift    = 7
	lengthBits     = 1<<lengthShift - 1
	// readStep is how many bytes of a frame are allocated before they arrive.
	readStep = 64 << 10
)

// Codec encodes messages as frames and decodes them.
type Codec struct {
	// MaxFrameBytes is the largest frame in both directions; zero means
	// DefaultMaxFrameBytes.
	MaxFrameBytes int
}

var encodeMode, decodeMode = modes()

// modes returns the modes of the encoder and the decoder. It panics only if the
// options contradict each other. Text that is not valid UTF-8 is accepted: an engine
// may split a character between two parts, and a decoder that refused it would end
// the session in the middle of an answer.
func modes() (cbor.EncMode, cbor.DecMode) {
	encode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	decode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return encode, decode
}

func (c Codec) maxFrameBytes() int {
	if c.MaxFrameBytes <= 0 {
		return DefaultMaxFrameBytes
	}
	return c.MaxFrameBytes
}

// Append appends the frame of a message to b.
func (c Codec) Append(b []byte, m message.Message) ([]byte, error) {
	kind := m.Kind()
	body, err := encodeMode.Marshal(m)
	if err != nil {
		return b, errorf(CodeGarbled, "", err, "encode %s", kind)
	}
	length := 1 + len(kind) + len(body)
	if length > c.maxFrameBytes() {
		return b, errorf(CodeTooLarge, "", nil, "%s of %d bytes exceeds the limit of %d", kind, length, c.maxFrameBytes())
	}
	b = binary.AppendUvarint(b, uint64(length))
	b = append(b, byte(len(kind)))
	b = append(b, kind...)
	return append(b, body...), nil
}

// Reader is the source from which Read reads frames, such as a *bufio.Reader.
type Reader interface {
	io.Reader
	io.ByteReader
}

// Read reads one frame. It returns io.EOF only if r ends before a frame begins, and
// otherwise an *Error with CodeTooLarge, CodeUnknownKind or CodeGarbled, or the
// error of r.
func (c Codec) Read(r Reader) (message.Message, error) {
	length, err := c.readLength(r)
	if err != nil {
		return nil, err
	}
	return readMessage(r, length, nil)
}

// readLength reads the length of the next frame.
func (c Codec) readLength(r io.ByteReader) (int, error) {
	length, err := readVarint(r)
	if err == nil && length > uint64(c.maxFrameBytes()) {
		err = errorf(CodeTooLarge, "", nil, "frame of %d bytes exceeds the limit of %d", length, c.maxFrameBytes())
	}
	return int(length), err
}

// readMessage reads the rest of a frame, and counts the bytes of a large one until it is
// decoded. The error has CodeNoMemory if there is no room for them.
func readMessage(r io.Reader, length int, held *memorybudget.Holding) (message.Message, error) {
	defer held.Shrink(int64(length))
	frame, err := readFrame(r, length, held)
	if err != nil {
		return nil, err
	}
	return decodeFrame(frame)
}

// readVarint reads an unsigned varint. It returns io.EOF before the first byte,
// which is a clean end, and CodeGarbled for a length that is incomplete or too long.
func readVarint(r io.ByteReader) (uint64, error) {
	var length uint64
	for i := range maxLengthBytes {
		b, err := r.ReadByte()
		if errors.Is(err, io.EOF) && i > 0 {
			return 0, errorf(CodeGarbled, "", io.ErrUnexpectedEOF, "frame length is incomplete")
		}
		if err != nil {
			return 0, err
		}
		length |= uint64(b&lengthBits) << (lengthShift * i)
		if b <= lengthBits {
			return length, nil
		}
	}
	return 0, errorf(CodeGarbled, "", nil, "frame length is longer than %d bytes", maxLengthBytes)
}

// readFrame reads a frame into a buffer that grows as the bytes arrive. Otherwise a
// corrupt length would make a receiver allocate megabytes for a peer that sent four
// bytes, and a thousand such sessions would crash the process.
func readFrame(r io.Reader, length int, held *memorybudget.Holding) ([]byte, error) {
	frame := make([]byte, 0, min(length, readStep))
	for len(frame) < length {
		have := len(frame)
		step := min(length-have, max(have, readStep))
		if err := held.Grow(int64(step)); err != nil {
			return nil, errorf(CodeNoMemory, "", err, "frame of %d bytes", length)
		}
		frame = slices.Grow(frame, step)[:have+step]
		n, err := io.ReadFull(r, frame[have:])
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errorf(CodeGarbled, "", io.ErrUnexpectedEOF, "frame ends after %d of %d bytes", have+n, length)
		}
		if err != nil {
			return nil, err
		}
	}
	return frame, nil
}

func decodeFrame(frame []byte) (message.Message, error) {
	if len(frame) == 0 {
		return nil, errorf(CodeGarbled, "", nil, "empty frame")
	}
	size := int(frame[0])
	if size == 0 || size > maxKindBytes || 1+size > len(frame) {
		return nil, errorf(CodeGarbled, "", nil, "kind of %d bytes in a frame of %d", size, len(frame))
	}
	kind := message.Kind(frame[1 : 1+size])
	m, err := message.DecodeBody(kind, frame[1+size:], decodeMode.Unmarshal)
	if err == nil {
		return m, nil
	}
	if unknown, ok := errors.AsType[*message.UnknownKindError](err); ok {
		return nil, errorf(CodeUnknownKind, "", unknown, "frame of %d bytes", len(frame))
	}
	return nil, errorf(CodeGarbled, "", err, "body of %s", kind)
}
