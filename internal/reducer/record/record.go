package record

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// recordOverhead is the memory of one record without its strings, in bytes: the
// struct, both index entries and the allocator's rounding.
const recordOverhead = 290

// earlierIDOverhead is the memory of one earlier id without its text, in bytes.
const earlierIDOverhead = 112

// maxEarlierIDs bounds the earlier ids of a record. Beyond it the oldest is
// removed.
const maxEarlierIDs = 4

// attemptsPerOwner is the distance between the attempt numbers of successive
// owners. The owner of a repeatable request increments its attempt number
// itself, and the distance keeps its attempts apart from those of the next owner
// at the gates.
const attemptsPerOwner = 1 << 12

// maxAttempt is the attempt number from which a record is no longer reopened.
// Beyond it the attempt numbers could overflow, start from the beginning and
// pass the fences of old ones.
const maxAttempt = math.MaxUint32 - 2*attemptsPerOwner

// digest identifies a scope or a request id in the indexes. It is a truncated
// cryptographic hash, because callers choose the keys.
type digest [16]byte

func scopeDigest(s message.Scope) digest {
	return digestOf(s.Organisation, s.Operation, s.Key)
}

func digestOf(parts ...string) digest {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write([]byte(p))
	}
	var out digest
	copy(out[:], h.Sum(nil))
	return out
}

// record is the record of one request.
type record struct {
	scope       message.Scope
	requestID   string
	fingerprint string
	// earlierIDs are ids that the record had before retries took it over.
	earlierIDs []earlierID
	owner      string
	server     string
	status     *message.StatusCall
	answer     *message.Answer
	state      message.RecordState
	// reason says why a record failed or has no answer to replay.
	reason oriolebend.Reason
	// changed is when the state last changed, in nanoseconds since 1970.
	changed int64
	attempt uint32
	// once is true for a request that may run at most once.
	once bool
	// retryable is true for a failure after which a retry may run the request
	// again.
	retryable bool

	list           *list
	previous, next *record
}

// earlierID is an id that a record had before a retry took it over. Its reported
// outcome stays true: a request that was closed as not run under this id never
// runs under it, because the retry has its own id.
type earlierID struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	NotRun  bool
	Attempt uint32
}

// findEarlierID returns the entry of an earlier id, if the record has one.
func (r *record) findEarlierID(id string) (earlierID, bool) {
	for _, e := range r.earlierIDs {
		if e.ID == id {
			return e, true
		}
	}
	return earlierID{}, false
}

// open reports whether an owner may still run the request.
func (r *record) open() bool {
	return r.state == message.RecordClaimed || r.state == message.RecordRunning
}

// canReopen reports whether a retry may run the request again: either it never
// ran, or it is repeatable and failed for a transient reason. once is the claim's
// value. It may be true for a record that is not once, if the route was declared
// as at most once in between. Such a claim does not reopen a record whose request
// may have run.
func (r *record) canReopen(once bool) bool {
	if r.attempt >= maxAttempt {
		return false
	}
	return r.state == message.RecordNotRun || (r.retryable && !once)
}

// sameOwnership reports whether the attempt belongs to the record's current or
// last ownership, and not to an earlier one.
func (r *record) sameOwnership(attempt uint32) bool {
	return attempt/attemptsPerOwner == r.attempt/attemptsPerOwner
}

// nextOwnership sets the attempt number past all that were assigned before.
func (r *record) nextOwnership() {
	r.attempt = (r.attempt/attemptsPerOwner+1)*attemptsPerOwner + 1
}

// memoryBytes estimates the memory of the record without its answer.
func (r *record) memoryBytes() int64 {
	size := recordOverhead + len(r.scope.Key) + len(r.requestID) + len(r.fingerprint)
	for _, e := range r.earlierIDs {
		size += earlierIDOverhead + len(e.ID)
	}
	if r.status != nil {
		size += len(r.status.Path) + len(r.status.Identity)
	}
	return int64(size)
}

func answerBytes(a *message.Answer) int64 {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for k, v := range a.Header {
		size += len(k) + len(v)
	}
	return int64(size)
}

func nanos(d time.Duration) int64 { return int64(d) }
