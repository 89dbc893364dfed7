package peer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
)

func TestCodecRefuses(t *testing.T) {
	complete, err := Codec{}.Append(nil, message.Part{Text: "abc"})
	is.New(t).NoErr(err)
	cases := []struct {
		name  string
		bytes []byte
		want  Code
	}{
		{"lengthIncomplete", []byte{0x80}, CodeGarbled},
		{"lengthTooLong", []byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x01}, CodeGarbled},
		{"tooLarge", []byte{0xff, 0xff, 0xff, 0xff, 0x0f}, CodeTooLarge},
		{"empty", []byte{0}, CodeGarbled},
		{"frameIncomplete", complete[:len(complete)-1], CodeGarbled},
		{"kindIncomplete", []byte{2, 4, 'p'}, CodeGarbled},
		{"kindTooLong", append([]byte{100, 99}, make([]byte, 99)...), CodeGarbled},
		{"bodyMissing", []byte{5, 4, 'p', 'a', 'r', 't'}, CodeGarbled},
		{"unknownKind", []byte{3, 1, 'x', 0xa0}, CodeUnknownKind},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Codec{}.Read(bytes.NewReader(c.bytes))
			is.New(t).Equal(CodeOf(err), c.want)
		})
	}
}

func TestCodecEnd(t *testing.T) {
	_, err := Codec{}.Read(bytes.NewReader(nil))
	is.New(t).True(errors.Is(err, io.EOF))
}

// Guards against a frame of four bytes that makes the process allocate megabytes,
// because the announced length was trusted before the bytes arrived.
func TestAnnouncedLengthIsNotAllocated(t *testing.T) {
	i := is.New(t)
	announced := []byte{0xff, 0xff, 0xff, 0x07} // 16 MiB - 1
	bytesPerRun := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Codec{}.Read(bytes.NewReader(announced))
		}
	}).AllocedBytesPerOp()
	i.True(bytesPerRun < 4*readStep)
}

// TestEveryKindRoundTrips checks that the zero value of every kind is decoded as the
// type that was encoded.
func TestEveryKindRoundTrips(t *testing.T) {
	for _, kind := range message.Kinds() {
		i := is.New(t)
		zero, err := message.DecodeBody(kind, []byte{0xa0}, decodeMode.Unmarshal)
		i.NoErr(err)
		frame, err := Codec{}.Append(nil, zero)
		i.NoErr(err)
		got, err := Codec{}.Read(bytes.NewReader(frame))
		i.NoErr(err)
		i.Equal(got, zero)
	}
}

func FuzzCodecRead(f *testing.F) {
	for _, m := range []message.Message{
		message.Reserve{Prefix: []uint64{1, 2}},
		message.Offer{LinkBytes: 1},
		message.Part{Text: "a\xff"},
		message.Update{Resources: [][]byte{{1}}},
		message.Append{Entries: []message.LogEntry{{Index: 1}}},
	} {
		frame, err := Codec{}.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := Codec{MaxFrameBytes: 1 << 16}.Read(bytes.NewReader(frame))
		if err != nil {
			if CodeOf(err) == "" && !errors.Is(err, io.EOF) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		again, err := Codec{}.Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := (Codec{}).Read(bytes.NewReader(again)); err != nil {
			t.Fatalf("a decoded message can't be decoded after encoding it again: %v", err)
		}
	})
}

// Guards against frames whose memory is not counted, or is counted on after they were decoded.
func TestLargeFrameNeedsMemory(t *testing.T) {
	i := is.New(t)
	account := memorybudget.New(memorybudget.Config{Limit: 1 << 20, PeerShare: 1, SmallShare: 0.01})
	frame, err := Codec{}.Append(nil, message.Prefill{Prompt: strings.Repeat("x", 600<<10)})
	i.NoErr(err)
	read := func() error {
		r := bytes.NewReader(frame)
		length, err := Codec{}.readLength(r)
		i.NoErr(err)
		_, err = readMessage(r, length, account.Open(memorybudget.Frame, "p"))
		return err
	}
	i.NoErr(read())
	i.Equal(account.Held(memorybudget.Frame), int64(0))
	other := account.Open(memorybudget.Frame, "q")
	i.NoErr(other.Grow(600 << 10))
	i.Equal(CodeOf(read()), CodeNoMemory)
	i.Equal(account.Held(memorybudget.Frame), int64(600<<10))
	other.Close()
	i.NoErr(read())
}
