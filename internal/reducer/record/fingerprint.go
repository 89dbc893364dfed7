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

// Versions of the fingerprint. A change of the computation adds a version. The
// old version stays for as long as records are kept; until then every
// fingerprint holds both, the newest first.
const fingerprintV1 = "v1"

// fingerprintBytes is the length of the truncated hash.
const fingerprintBytes = 16

// ValidatedCommand is the content of a request with its defaults filled in and
// without the parts that belong to the transport only. Fields that do not apply
// are empty.
type ValidatedCommand struct {
	Operation string
	Model     string
	Version   string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Service and the fields below it are set for the call of a plain service.
	Service string
	Method  string
	Path    string
	// Header holds the headers that affect the result of the call, such as
	// Content-Type and If-Match, by canonical name.
	Header map[string]string
	Body   []byte
}

// Fingerprint returns the fingerprint of a command in every version that is
// still in use, separated by spaces.
func Fingerprint(c ValidatedCommand) string {
	return fingerprintV1 + ":" + hex.EncodeToString(sumV1(c))
}

// sumV1 hashes each field after its length, so that moving text from one field
// to the next changes the hash.
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

// SameCommand reports whether a stored and a claimed fingerprint belong to the
// same command. It compares the newest version that both hold. Without a common
// version the commands count as different, because a request that is not known
// to be a retry must not get the answer of the first command.
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

// versions returns the hashes of a fingerprint by version.
func versions(fingerprint string) map[string]string {
	found := map[string]string{}
	for _, one := range strings.Fields(fingerprint) {
		version, sum, _ := strings.Cut(one, ":")
		found[version] = sum
	}
	return found
}
