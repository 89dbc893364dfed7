package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// PartName names one part of the replicated state machine.
type PartName string

// Parts of the replicated state machine.
const (
	PartDeclared PartName = "declared"
	PartRecords  PartName = "records"
	PartRouting  PartName = "routing"
)

// TypedPart is a part of the state machine that applies commands of type C and
// returns results of type R.
type TypedPart[C, R any] interface {
	Apply(index uint64, command C) R
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Envelope is one command of the log: the name of the part that applies it, and
// that part's own encoded command.
type Envelope struct {
	Part PartName        `cbor:"part"`
	Body cbor.RawMessage `cbor:"body"`
}

// Reply is the encoded result of one command.
type Reply struct {
	Body cbor.RawMessage `cbor:"body,omitempty"`
	// Malformed is the reason why the command could not be decoded, empty if it
	// was applied. A malformed command changes nothing.
	Malformed string `cbor:"malformed,omitempty"`
}

// MalformedError means that a command, its result or a snapshot could not be
// encoded or decoded.
type MalformedError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Cause == nil {
		return "control: " + e.What
	}
	return fmt.Sprintf("control: %s: %v", e.What, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// part is a TypedPart without its type parameters.
type part struct {
	apply    func(index uint64, body []byte) Reply
	snapshot func() ([]byte, error)
	restore  func([]byte) error
}

func newPart[C, R any](m TypedPart[C, R]) part {
	return part{
		apply:    func(index uint64, body []byte) Reply { return applyPart(m, index, body) },
		snapshot: m.Snapshot,
		restore:  m.Restore,
	}
}

func applyPart[C, R any](m TypedPart[C, R], index uint64, body []byte) Reply {
	var command C
	if err := cbor.Unmarshal(body, &command); err != nil {
		return Reply{Malformed: err.Error()}
	}
	encoded, err := cbor.Marshal(m.Apply(index, command))
	if err != nil {
		return Reply{Malformed: err.Error()}
	}
	return Reply{Body: encoded}
}

// State is the complete replicated state machine; it implements Machine. A new
// part needs a field, a name and a line in NewState. Restore replaces the parts,
// so their users must not keep references to them across a Restore.
type State struct {
	Declared *declared.State

	parts map[PartName]part
}

// NewState returns the empty state.
func NewState() *State {
	s := &State{Declared: declared.New()}
	s.parts = map[PartName]part{
		PartDeclared: newPart[declared.Command, oriolebend.ChangeResult](s.Declared),
	}
	return s
}

// encoding is deterministic, so that equal states have equal snapshots.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options are valid
	}
	return mode
}()

// Apply implements Machine. An empty command, such as a new leader appends,
// changes nothing. Nor does a command that can't be decoded; all control VMs
// ignore the same commands.
func (s *State) Apply(index uint64, command []byte) []byte {
	if len(command) == 0 {
		return nil
	}
	reply := s.apply(index, command)
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		return nil // the two fields of a Reply can always be encoded
	}
	return encoded
}

func (s *State) apply(index uint64, command []byte) Reply {
	var envelope Envelope
	if err := cbor.Unmarshal(command, &envelope); err != nil {
		return Reply{Malformed: err.Error()}
	}
	p, found := s.parts[envelope.Part]
	if !found {
		return Reply{Malformed: fmt.Sprintf("no part %q", envelope.Part)}
	}
	return p.apply(index, envelope.Body)
}

// Snapshot implements Machine.
func (s *State) Snapshot() ([]byte, error) {
	encoded := make(map[PartName][]byte, len(s.parts))
	for _, name := range slices.Sorted(maps.Keys(s.parts)) {
		data, err := s.parts[name].snapshot()
		if err != nil {
			return nil, &MalformedError{What: "snapshot of " + string(name), Cause: err}
		}
		encoded[name] = data
	}
	return encoding.Marshal(encoded)
}

// Restore implements Machine. A part that the snapshot does not contain, because
// an older program wrote it, starts empty.
func (s *State) Restore(snapshot []byte) error {
	var encoded map[PartName][]byte
	if err := cbor.Unmarshal(snapshot, &encoded); err != nil {
		return &MalformedError{What: "snapshot", Cause: err}
	}
	restored := NewState()
	for _, name := range slices.Sorted(maps.Keys(encoded)) {
		p, found := restored.parts[name]
		if !found {
			return &MalformedError{What: fmt.Sprintf("snapshot has a part %q that this program does not know", name)}
		}
		if err := p.restore(encoded[name]); err != nil {
			return &MalformedError{What: "snapshot of " + string(name), Cause: err}
		}
	}
	*s = *restored
	return nil
}

// Encode encodes a command for a part.
func Encode(name PartName, command any) ([]byte, error) {
	body, err := cbor.Marshal(command)
	if err != nil {
		return nil, &MalformedError{What: "command", Cause: err}
	}
	return cbor.Marshal(Envelope{Part: name, Body: body})
}

// Decode reads the result of a command.
func Decode[R any](reply []byte) (R, error) {
	var result R
	var decoded Reply
	if err := cbor.Unmarshal(reply, &decoded); err != nil {
		return result, &MalformedError{What: "result", Cause: err}
	}
	if decoded.Malformed != "" {
		return result, &MalformedError{What: "command refused: " + decoded.Malformed}
	}
	if err := cbor.Unmarshal(decoded.Body, &result); err != nil {
		return result, &MalformedError{What: "result", Cause: err}
	}
	return result, nil
}
