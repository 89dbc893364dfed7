package disk

import (
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// hardFile is the file that holds the term and the vote, as one frame.
const hardFile = "vote"

func writeHard(fs FileSystem, folder string, hard agreement.HardState) error {
	payload, err := cbor.Marshal(hard)
	if err != nil {
		return ioError(hardFile, 0, err)
	}
	return writeAtomically(fs, filepath.Join(folder, hardFile), appendFrame(nil, 0, payload))
}

func parseHard(data []byte) (agreement.HardState, error) {
	var hard agreement.HardState
	f, ok := parseFrame(data)
	if !ok || f.size != int64(len(data)) {
		return hard, damageError(hardFile, 0, "the checksum does not match")
	}
	if err := cbor.Unmarshal(f.payload, &hard); err != nil {
		return hard, &Error{Kind: KindDamaged, File: hardFile, Cause: err}
	}
	return hard, nil
}
