package forwarder

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

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

// maxParts bounds the parts of a prompt that are fingerprinted.
const maxParts = 64

// partFingerprints hashes the parts of a prompt that other requests may share, each once. The name
// of the service is included, since a part that crashes the servers of one service may be harmless
// for another.
func partFingerprints(service string, parts []string) []quarantine.Fingerprint {
	if len(parts) == 0 {
		return nil
	}
	list := make([]quarantine.Fingerprint, 0, min(maxParts, len(parts)))
	for _, part := range parts[:min(maxParts, len(parts))] {
		fingerprint := quarantine.Fingerprint(xxhash.Sum64String(service + "\x00" + part))
		if !slices.Contains(list, fingerprint) {
			list = append(list, fingerprint)
		}
	}
	return list
}

// maxLoggedParts bounds the parts that one log line names.
const maxLoggedParts = 8

// partsText lists the fingerprints of parts as in log lines, separated by spaces.
func partsText(parts []quarantine.Fingerprint) string {
	words := make([]string, 0, maxLoggedParts)
	for _, part := range parts[:min(maxLoggedParts, len(parts))] {
		words = append(words, part.String())
	}
	return strings.Join(words, " ")
}
