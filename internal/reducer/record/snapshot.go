package record

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 2

// maxSnapshotRecords bounds the decoder. It does not bound the state.
const maxSnapshotRecords = math.MaxInt32

var snapshotDecoding = newDecoding(maxSnapshotRecords, maxSnapshotRecords)

// FormatError is the cause of a DecodeError for a snapshot in a format that this
// version can't read.
type FormatError struct{ Format int }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("snapshot format is %d, want %d", e.Format, snapshotFormat)
}

type snapshot struct {
	Format int             `cbor:"format"`
	Index  uint64          `cbor:"index"`
	Now    int64           `cbor:"now"`
	Limits Limits          `cbor:"limits"`
	Owners []snapshotOwner `cbor:"owners"`
	// Records has the records list by list, in the order of each list.
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

// Snapshot encodes the complete state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	return s.Image().Encode()
}

// Image is a copy of the state at one index. Encoding it takes many times as
// long as copying the state, and may be done while the state applies further
// commands.
type Image struct{ snapshot snapshot }

// Index returns the index of the last command that the image includes.
func (i *Image) Index() uint64 { return i.snapshot.Index }

// Encode returns the image as a snapshot.
func (i *Image) Encode() ([]byte, error) {
	data, err := encoding.Marshal(i.snapshot)
	if err != nil {
		return nil, fmt.Errorf("record: snapshot: %w", err)
	}
	return data, nil
}

// Image copies the state. The copy shares strings, answers and lists of earlier
// ids, none of which is changed in place.
func (s *State) Image() *Image {
	snap := snapshot{
		Format:  snapshotFormat,
		Index:   s.index,
		Now:     s.now,
		Limits:  s.limits,
		Records: make([]snapshotRecord, 0, len(s.records)),
	}
	for _, name := range s.ownerNames() {
		o := s.owners[name]
		snap.Owners = append(snap.Owners, snapshotOwner{
			Name: name, Address: o.address, LeaseFor: o.leaseFor, LeaseEnd: o.leaseEnd,
		})
		snap.appendList(&o.open)
	}
	snap.appendList(s.unknown)
	snap.appendList(s.settledOnce)
	snap.appendList(s.settledRepeatable)
	return &Image{snapshot: snap}
}

func (s *State) ownerNames() []string {
	names := make([]string, 0, len(s.owners))
	for name := range s.owners {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *snapshot) appendList(l *list) {
	for r := l.head; r != nil; r = r.next {
		s.Records = append(s.Records, encodeRecord(r))
	}
}

func encodeRecord(r *record) snapshotRecord {
	return snapshotRecord{
		Organisation: r.scope.Organisation, Operation: r.scope.Operation, Key: r.scope.Key,
		RequestID: r.requestID, Fingerprint: r.fingerprint, Earlier: r.earlierIDs,
		Owner: r.owner, Server: r.server, Status: r.status, Answer: r.answer,
		State: r.state, Reason: r.reason, Changed: r.changed,
		Attempt: r.attempt, Once: r.once, Retryable: r.retryable,
	}
}

// Restore replaces the complete state by that of a snapshot. Its error is a
// *DecodeError and leaves the state unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := snapshotDecoding.Unmarshal(data, &snap); err != nil {
		return &DecodeError{What: "snapshot", Cause: err}
	}
	if snap.Format != snapshotFormat {
		return &DecodeError{What: "snapshot", Cause: &FormatError{Format: snap.Format}}
	}
	fresh := New()
	fresh.index, fresh.now, fresh.limits = snap.Index, snap.Now, snap.Limits
	for _, o := range snap.Owners {
		fresh.owners[fresh.intern(o.Name)] = &owner{address: o.Address, leaseFor: o.LeaseFor, leaseEnd: o.LeaseEnd}
	}
	for i := range snap.Records {
		fresh.restoreRecord(&snap.Records[i])
	}
	*s = *fresh
	return nil
}

func (s *State) restoreRecord(in *snapshotRecord) {
	r := &record{
		scope: message.Scope{
			Organisation: s.intern(in.Organisation), Operation: s.intern(in.Operation), Key: in.Key,
		},
		requestID: in.RequestID, fingerprint: in.Fingerprint, earlierIDs: in.Earlier,
		owner: s.intern(in.Owner), server: s.intern(in.Server), status: in.Status, answer: in.Answer,
		state: in.State, reason: in.Reason, changed: in.Changed,
		attempt: in.Attempt, once: in.Once, retryable: in.Retryable,
	}
	s.records[scopeDigest(r.scope)] = r
	s.byID[digestOf(r.requestID)] = r
	for _, e := range r.earlierIDs {
		s.byID[digestOf(e.ID)] = r
	}
	s.recordBytes += r.memoryBytes()
	s.updateList(r)
	s.answerBytes += answerBytes(r.answer)
}
