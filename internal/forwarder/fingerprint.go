package forwarder

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

// fingerprintOf hashes the organisation, method, host, target and body of a request: all tries of a
// caller at one request have the same fingerprint. Headers are left out, since IDs, deadlines and
// estimates differ from try to try.
//
// The fingerprint must include the organisation, and the hash must be collision-resistant.
// Otherwise one caller could get the requests of others quarantined for server crashes that its own
// requests caused.
func fingerprintOf(r *http1.Request, organisation string) quarantine.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{organisation, r.Method, r.Host, r.Target} {
		// Writes to a hash do not fail. The length prefix marks the end of each part.
		_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(r.Body)
	return quarantine.Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}
