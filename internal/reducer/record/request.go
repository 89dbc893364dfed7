package record

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// recordOverhead is the memory of one record beside its own strings, in
// bytes: the struct, both index entries and the allocator's rounding.
const recordOverhead = 290

// earlierOverhead is the memory of one earlier id beside its text, in bytes.
const earlierOverhead = 112

// mostEarlier bounds the earlier ids of a record; the oldest is then forgotten.
const mostEarlier = 4

// attemptsPerOwner is the distance between the attempt numbers of successive
// owners. An owner of a repeatable request counts its attempts up by itself;
// the distance keeps them apart from those of the next owner at the gates.
const attemptsPerOwner = 1 << 12

// maxAttempt is where a record stops to be reopened, before its attempt
// numbers would begin anew and pass the fences of old ones.
const maxAttempt = math.MaxUint32 - 2*attemptsPerOwner

// digest identifies a scope or a request id in the indexes. Callers choose
// keys, so it is cut from a cryptographic hash.
type digest [16]byte

func scopeHash(s message.Scope) digest {
	return hashOf(s.Organisation, s.Operation, s.Key)
}

func hashOf(parts ...string) digest {
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

// request is one record.
type request struct {
	scope       message.Scope
	requestID   string
	fingerprint string
	// earlier are ids that the record had before retries took it over.
	earlier []earlierID
	owner   string
	server  string
	status  *message.StatusCall
	answer  *message.Answer
	state   message.RecordState
	// reason says why a record failed or has no answer to replay.
	reason oriolebend.Reason
	// changed is when the state last changed, in nanoseconds since 1970.
	changed int64
	attempt uint32
	once    bool
	// retryable is true for a failure that a retry may run again.
	retryable bool

	in             *list
	previous, next *request
}

// earlierID is an id that a record had before a retry took it over. What was
// told about it stays true: one that was closed as not run never runs, the
// retry has an id of its own.
type earlierID struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	NotRun  bool
	Attempt uint32
}

// earlierAs returns what the record says of an earlier id.
func (r *request) earlierAs(id string) (earlierID, bool) {
	for _, e := range r.earlier {
		if e.ID == id {
			return e, true
		}
	}
	return earlierID{}, false
}

// open reports whether an owner may still run the request.
func (r *request) open() bool {
	return r.state == message.RecordClaimed || r.state == message.RecordRunning
}

// reopens reports whether a retry may run the request again: it never ran, or
// it may be repeated and failed for a cause that passes. A claim that counts the command as
// one to run once, because its route was declared anew in between, does not
// reopen what may have run.
func (r *request) reopens(once bool) bool {
	if r.attempt >= maxAttempt {
		return false
	}
	return r.state == message.RecordNotRun || (r.retryable && !once)
}

// ownedSince reports whether the attempt belongs to the record's present or
// last ownership, and not to an earlier one.
func (r *request) ownedSince(attempt uint32) bool {
	return attempt/attemptsPerOwner == r.attempt/attemptsPerOwner
}

// nextOwnership moves the attempt number behind all that were given out.
func (r *request) nextOwnership() {
	r.attempt = (r.attempt/attemptsPerOwner+1)*attemptsPerOwner + 1
}

func (r *request) cost() int64 {
	size := recordOverhead + len(r.scope.Key) + len(r.requestID) + len(r.fingerprint)
	for _, e := range r.earlier {
		size += earlierOverhead + len(e.ID)
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
