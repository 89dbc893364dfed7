package record

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Versions of the fingerprint. A change of the computation adds a version and
// keeps the old one for as long as records are kept; until then both stand in
// every fingerprint, the newest first.
const fingerprintV1 = "v1"

// fingerprintBytes is how much of the hash is kept.
const fingerprintBytes = 16

// ValidatedCommand is what a request means, after defaults were filled in and
// without what belongs to the transport only. Fields that do not apply are
// empty.
type ValidatedCommand struct {
	Operation string
	Model     string
	Version   string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Service and those below it are of a call of a plain service.
	Service string
	Method  string
	Path    string
	// Header holds the headers that change what the call does, by canonical
	// name, such as Content-Type and If-Match.
	Header map[string]string
	Body   []byte
}

// Fingerprint returns the fingerprint of a command in every version that is
// still in use, separated by spaces.
func Fingerprint(c ValidatedCommand) string {
	return fingerprintV1 + ":" + hex.EncodeToString(sumV1(c))
}

// sumV1 hashes each field with its length before it, so that no text can move
// from one field to the next unnoticed.
func sumV1(c ValidatedCommand) []byte {
	h := sha256.New()
	for _, field := range []string{
		c.Operation, c.Model, c.Version, c.Adapter, c.Prompt,
		strconv.Itoa(c.MaxTokens),
		c.Service, strings.ToUpper(c.Method), c.Path,
	} {
		writeField(h, []byte(field))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Header)) {
		writeField(h, []byte(name+":"+c.Header[name]))
	}
	writeField(h, canonicalBody(c.Body))
	return h.Sum(nil)[:fingerprintBytes]
}

func writeField(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	h.Write(size[:])
	h.Write(field)
}

// SameCommand reports whether a stored and a claimed fingerprint are of the
// same command. The newest version that both hold decides; without a common
// version the commands count as different, for a retry that can't be proven
// must not be answered with the first command's answer.
func SameCommand(stored, claimed string) bool {
	if stored == claimed {
		return true
	}
	others := versions(claimed)
	for _, one := range strings.Fields(stored) {
		version, sum, _ := strings.Cut(one, ":")
		if other, ok := others[version]; ok {
			return sum == other
		}
	}
	return false
}

func versions(fingerprint string) map[string]string {
	found := map[string]string{}
	for _, one := range strings.Fields(fingerprint) {
		version, sum, _ := strings.Cut(one, ":")
		found[version] = sum
	}
	return found
}
