package record

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// snapshotFormat is the version of the snapshot's form.
const snapshotFormat = 2

// maxSnapshotRecords bounds the decoder, not the state.
const maxSnapshotRecords = math.MaxInt32

var snapshotDecoding = newDecoding(maxSnapshotRecords, maxSnapshotRecords)

// FormatError tells of a snapshot in a form that this version can't read.
type FormatError struct{ Format int }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("snapshot in form %d, want %d", e.Format, snapshotFormat)
}

type snapshot struct {
	Format int             `cbor:"format"`
	Index  uint64          `cbor:"index"`
	Now    int64           `cbor:"now"`
	Limits Limits          `cbor:"limits"`
	Owners []snapshotOwner `cbor:"owners"`
	// Records stand in the order of the lists they are in.
	Records []snapshotRecord `cbor:"records"`
}

type snapshotOwner struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Address  string
	LeaseFor time.Duration
	LeaseEnd int64
}

type snapshotRecord struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Operation    string
	Key          string
	RequestID    string
	Fingerprint  string
	Earlier      []earlierID
	Owner        string
	Server       string
	Status       *message.StatusCall
	Answer       *message.Answer
	State        message.RecordState
	Reason       oriolebend.Reason
	Changed      int64
	Attempt      uint32
	Once         bool
	Retryable    bool
}

// Snapshot encodes the whole state; equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return s.Image().Encode()
}

// Image is a copy of the state as it was at one index. Encoding it takes many
// times as long as making it, and may be done while the state moves on.
type Image struct{ shot snapshot }

// Index is that of the last command in the image.
func (i *Image) Index() uint64 { return i.shot.Index }

// Encode returns the image as a snapshot.
func (i *Image) Encode() ([]byte, error) {
	data, err := encoding.Marshal(i.shot)
	if err != nil {
		return nil, fmt.Errorf("record: snapshot: %w", err)
	}
	return data, nil
}

// Image copies the state. The copy shares texts, answers and lists of earlier
// ids, none of which is changed in place.
func (s *State) Image() *Image {
	shot := snapshot{
		Format:  snapshotFormat,
		Index:   s.index,
		Now:     s.now,
		Limits:  s.limits,
		Records: make([]snapshotRecord, 0, len(s.records)),
	}
	for _, name := range s.ownerNames() {
		o := s.owners[name]
		shot.Owners = append(shot.Owners, snapshotOwner{
			Name: name, Address: o.address, LeaseFor: o.leaseFor, LeaseEnd: o.leaseEnd,
		})
		shot.addList(&o.open)
	}
	shot.addList(s.unknown)
	shot.addList(s.settledOnce)
	shot.addList(s.settledRepeatable)
	return &Image{shot: shot}
}

func (s *State) ownerNames() []string {
	names := make([]string, 0, len(s.owners))
	for name := range s.owners {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (shot *snapshot) addList(l *list) {
	for r := l.head; r != nil; r = r.next {
		shot.Records = append(shot.Records, encodeRecord(r))
	}
}

func encodeRecord(r *request) snapshotRecord {
	return snapshotRecord{
		Organisation: r.scope.Organisation, Operation: r.scope.Operation, Key: r.scope.Key,
		RequestID: r.requestID, Fingerprint: r.fingerprint, Earlier: r.earlier,
		Owner: r.owner, Server: r.server, Status: r.status, Answer: r.answer,
		State: r.state, Reason: r.reason, Changed: r.changed,
		Attempt: r.attempt, Once: r.once, Retryable: r.retryable,
	}
}

// Restore replaces the whole state by that of a snapshot. After an error, a
// *DecodeError, the state is unchanged.
func (s *State) Restore(data []byte) error {
	var shot snapshot
	if err := snapshotDecoding.Unmarshal(data, &shot); err != nil {
		return &DecodeError{What: "snapshot", Cause: err}
	}
	if shot.Format != snapshotFormat {
		return &DecodeError{What: "snapshot", Cause: &FormatError{Format: shot.Format}}
	}
	fresh := New()
	fresh.index, fresh.now, fresh.limits = shot.Index, shot.Now, shot.Limits
	for _, o := range shot.Owners {
		fresh.owners[fresh.intern(o.Name)] = &owner{address: o.Address, leaseFor: o.LeaseFor, leaseEnd: o.LeaseEnd}
	}
	for i := range shot.Records {
		fresh.add(&shot.Records[i])
	}
	*s = *fresh
	return nil
}

func (s *State) add(in *snapshotRecord) {
	r := &request{
		scope: message.Scope{
			Organisation: s.intern(in.Organisation), Operation: s.intern(in.Operation), Key: in.Key,
		},
		requestID: in.RequestID, fingerprint: in.Fingerprint, earlier: in.Earlier,
		owner: s.intern(in.Owner), server: s.intern(in.Server), status: in.Status, answer: in.Answer,
		state: in.State, reason: in.Reason, changed: in.Changed,
		attempt: in.Attempt, once: in.Once, retryable: in.Retryable,
	}
	s.records[scopeHash(r.scope)] = r
	s.ids[hashOf(r.requestID)] = r
	for _, e := range r.earlier {
		s.ids[hashOf(e.ID)] = r
	}
	s.bytes += r.cost()
	s.place(r)
	s.answerBytes += answerBytes(r.answer)
}
