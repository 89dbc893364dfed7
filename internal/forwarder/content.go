package forwarder

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/http1"
)

// content identifies what a request asks for, whoever carries it: all tries of a caller
// at one request have the same, and each has an id of its own. Headers are left out, as
// ids, deadlines and estimates differ from try to try.
type content uint64

// contentOf hashes the method, host, target and body of a request.
func contentOf(r *http1.Request) content {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// Neither write fails; the zero byte can't be part of what is before it.
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.Body)
	return content(hash.Sum64())
}

// String writes a content as log lines do.
func (c content) String() string { return fmt.Sprintf("%016x", uint64(c)) }
