package forwarder

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

// fingerprintOf hashes the organisation, method, host, target and body of a request: all
// tries of a caller at one request have the same. Headers are left out, as ids, deadlines
// and estimates differ from try to try.
//
// Without the organisation in it, or with a hash for which another request with the same
// fingerprint can be made up, one caller could have the requests of others held back for
// what its own did to servers.
func fingerprintOf(r *http1.Request, organisation string) quarantine.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{organisation, r.Method, r.Host, r.Target} {
		// Writes to a hash do not fail; the length tells where a part ends.
		_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(r.Body)
	return quarantine.Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}
