package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
)

// A frame is the length of the rest as an unsigned varint, the length of the
// kind as one byte, the kind, and the body in CBOR.
const (
	// DefaultMaxFrameBytes bounds a frame; it holds the largest body of a
	// caller (8 MiB) with room for what travels beside it.
	DefaultMaxFrameBytes = 16 << 20
	// maxKindBytes bounds the name of a kind.
	maxKindBytes = 64
	// maxLengthBytes bounds the varint of a frame's length, whose bytes carry
	// lengthShift bits each.
	maxLengthBytes = 5
	lengthShift    = 7
	lengthBits     = 1<<lengthShift - 1
	// readStep is how much of a frame is allocated before its bytes arrive.
	readStep = 64 << 10
)

// Codec turns messages into frames and back.
type Codec struct {
	// MaxFrameBytes bounds a frame in both directions; zero means
	// DefaultMaxFrameBytes.
	MaxFrameBytes int
}

var encodeMode, decodeMode = modes()

// modes panics only if its constants contradict each other. Text that is not
// valid UTF-8 is let through: an engine may cut a character in two between
// two parts, and a decoder that refuses it would end the session in the
// middle of an answer.
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

func (c Codec) bound() int {
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
	if length > c.bound() {
		return b, errorf(CodeTooLarge, "", nil, "%s of %d bytes, allowed are %d", kind, length, c.bound())
	}
	b = binary.AppendUvarint(b, uint64(length))
	b = append(b, byte(len(kind)))
	b = append(b, kind...)
	return append(b, body...), nil
}

// Reader is what Read reads frames from, such as a *bufio.Reader.
type Reader interface {
	io.Reader
	io.ByteReader
}

// Read reads one frame. It returns io.EOF only at the end before a frame, and
// otherwise an *Error with CodeTooLarge, CodeUnknownKind or CodeGarbled, or
// the error of r.
func (c Codec) Read(r Reader) (message.Message, error) {
	length, err := readLength(r)
	if err != nil {
		return nil, err
	}
	if length > uint64(c.bound()) {
		return nil, errorf(CodeTooLarge, "", nil, "frame of %d bytes, allowed are %d", length, c.bound())
	}
	frame, err := readFrame(r, int(length))
	if err != nil {
		return nil, err
	}
	return decodeFrame(frame)
}

// readLength reads an unsigned varint. It keeps io.EOF before the first byte,
// which is a clean end, apart from a length that breaks off or is too long.
func readLength(r io.ByteReader) (uint64, error) {
	var length uint64
	for i := range maxLengthBytes {
		b, err := r.ReadByte()
		if errors.Is(err, io.EOF) && i > 0 {
			return 0, errorf(CodeGarbled, "", io.ErrUnexpectedEOF, "frame length breaks off")
		}
		if err != nil {
			return 0, err
		}
		length |= uint64(b&lengthBits) << (lengthShift * i)
		if b <= lengthBits {
			return length, nil
		}
	}
	return 0, errorf(CodeGarbled, "", nil, "frame length of over %d bytes", maxLengthBytes)
}

// readFrame grows its buffer as the bytes arrive. A garbled length would
// otherwise make a receiver allocate megabytes for a peer that sent four
// bytes, and a thousand such sessions would end the process.
func readFrame(r io.Reader, length int) ([]byte, error) {
	frame := make([]byte, 0, min(length, readStep))
	for len(frame) < length {
		have := len(frame)
		step := min(length-have, max(have, readStep))
		frame = slices.Grow(frame, step)[:have+step]
		n, err := io.ReadFull(r, frame[have:])
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errorf(CodeGarbled, "", io.ErrUnexpectedEOF, "frame breaks off at %d of %d bytes", have+n, length)
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
