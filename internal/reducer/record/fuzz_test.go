package record

import (
	"bytes"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// FuzzCommand decodes damaged commands. A command that the decoder accepts must
// apply without a panic, and the state must be restorable from its snapshot.
func FuzzCommand(f *testing.F) {
	scope := message.Scope{Organisation: "asociacion", Operation: "tip", Key: "k1"}
	seed := Command{
		At:     scriptStart,
		Limits: &Limits{MaxRecords: 2, KeepAnswers: time.Second},
		Renew:  []message.Renew{{Owner: "e1", LeaseFor: time.Second}},
		Settle: []message.Settle{
			{Scope: scope, RequestID: "r1", Owner: "e1", Attempt: 1, State: message.RecordRunning},
			{Scope: scope, RequestID: "r1", Owner: "e1", Attempt: 1, State: message.RecordAnswered, Answer: &message.Answer{Body: []byte("paid")}},
		},
		Resolve: []Resolve{{RequestID: "r1", Attempt: 1, State: message.RecordNotRun}},
		Claim:   []message.Claim{{Scope: scope, RequestID: "r1", Fingerprint: "v1:aa", Owner: "e1", Once: true}},
		Expire:  &Expire{Limit: 1},
	}
	data, err := seed.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			return
		}
		s := New()
		for index := range uint64(3) {
			s.Apply(index+1, c)
			checkRestore(t, s)
		}
	})
}

func checkRestore(t *testing.T, s *State) {
	t.Helper()
	shot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(shot); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(shot, again) {
		t.Fatal("snapshot of the restored state differs")
	}
}

// TestRestoreOfDamagedSnapshot guards against a control VM that starts with a
// part of its records. It happens if its snapshot is damaged and Restore keeps
// the records that it could decode.
func TestRestoreOfDamagedSnapshot(t *testing.T) {
	s := New()
	s.Apply(1, Command{At: scriptStart, Claim: []message.Claim{{RequestID: "r1", Fingerprint: "v1:aa", Owner: "e1"}}})
	shot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for name, damaged := range map[string][]byte{
		"empty": nil, "cut": shot[:len(shot)-1], "longer": append(bytes.Clone(shot), 0),
		"other format": bytes.Replace(shot, []byte("format\x02"), []byte("format\x03"), 1),
	} {
		if err := s.Restore(damaged); err == nil {
			t.Errorf("%s: restored", name)
		}
		if s.Sizes().Records != 1 {
			t.Errorf("%s: state changed", name)
		}
	}
}
