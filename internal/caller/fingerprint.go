package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strconv"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
)

// fingerprintVersion is the prefix of every provisional fingerprint.
const fingerprintVersion = "provisional-1"

// ProvisionalFingerprint returns a fingerprint of a request's command. It covers
// what would run, but neither how the answer is delivered nor how long the caller
// waits.
func ProvisionalFingerprint(r entry.Request) string {
	sum := sha256.New()
	writeParts(sum, fingerprintVersion, r.Model, r.Version, r.Adapter, r.Prompt, strconv.Itoa(r.MaxTokens), r.Service)
	if r.Call != nil {
		writeParts(sum, r.Call.Method, r.Call.Path, r.Call.Header["Content-Type"], string(r.Call.Body))
	}
	return fingerprintVersion + ":" + hex.EncodeToString(sum.Sum(nil))
}

// IdentityOf returns the identity that is sent to a service for an operation. It is
// the same for every attempt and for every retry with the same key.
func IdentityOf(s message.Scope) string {
	const identityBytes = 16
	sum := sha256.New()
	writeParts(sum, s.Organisation, s.Operation, s.Key)
	return hex.EncodeToString(sum.Sum(nil)[:identityBytes])
}

// writeParts writes the length of each part before the part, so that no two
// different lists of parts give the same bytes.
func writeParts(sum hash.Hash, parts ...string) {
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		sum.Write([]byte(part))
	}
}
