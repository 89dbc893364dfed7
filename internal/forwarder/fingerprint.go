package forwarder

import (
	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

// fingerprintOf hashes the method, host, target and body of a request: all tries of a caller
// at one request have the same. Headers are left out, as ids, deadlines and estimates
// differ from try to try.
func fingerprintOf(r *http1.Request) quarantine.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// Neither write fails; the zero byte can't be part of what is before it.
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.Body)
	return quarantine.Fingerprint(hash.Sum64())
}
