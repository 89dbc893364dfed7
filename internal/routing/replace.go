package routing

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Replace is the command that brings a routing into force.
type Replace struct {
	Routing oriolebend.Routing `cbor:"routing"`
	// Document is the routing as the operator wrote it. Operators read it back byte for
	// byte.
	Document []byte `cbor:"document"`
}

// compressed is the encoded form of a large Replace.
type compressed struct {
	Deflate []byte `cbor:"deflate"`
}

const (
	// compressFrom is the size in bytes from which a command is compressed. The leader sends it to
	// each other member, and its heartbeats wait behind it: with half a megabyte for each of five
	// members on links of 100 Mbit/s, no quorum answers within the leader's lease, and each new
	// leader fails the same way. A routing of a thousand routes shrinks to a tenth.
	compressFrom = 32 << 10
	// maxReplaceBytes bounds a decompressed command.
	maxReplaceBytes = 64 << 20
)

// EncodeReplace returns the encoded command of a Replace.
func EncodeReplace(r Replace) ([]byte, error) {
	plain, err := cbor.Marshal(r)
	if err != nil || len(plain) < compressFrom {
		return plain, err
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress a routing: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress a routing: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress a routing: %w", err)
	}
	return cbor.Marshal(compressed{Deflate: buffer.Bytes()})
}

// decodeReplace decodes a command, compressed or not.
func decodeReplace(command []byte) (Replace, error) {
	var large compressed
	if err := cbor.Unmarshal(command, &large); err != nil {
		return Replace{}, fmt.Errorf("decode a routing command: %w", err)
	}
	if len(large.Deflate) > 0 {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(large.Deflate)), maxReplaceBytes))
		if err != nil {
			return Replace{}, fmt.Errorf("decompress a routing command: %w", err)
		}
		command = plain
	}
	var r Replace
	if err := cbor.Unmarshal(command, &r); err != nil {
		return Replace{}, fmt.Errorf("decode a routing command: %w", err)
	}
	return r, nil
}
