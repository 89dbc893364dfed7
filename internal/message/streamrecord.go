package message

import "time"

// Kinds of the messages by which forwarders record and look up which servers began streams.
const (
	KindStreamRecordRequest Kind = "streamRecordRequest"
	KindStreamRecordAnswer  Kind = "streamRecordAnswer"
)

// StreamOrigin describes the server that sent the first event of a stream. Only a server that the
// origin permits may continue the stream.
type StreamOrigin struct {
	Service string `cbor:"1,keyasint"`
	// SoftwareVersion is empty if it was not known.
	SoftwareVersion string `cbor:"2,keyasint,omitempty"`
	// Server is set only if the software version was not known.
	Server ServerStart `cbor:"3,keyasint,omitzero"`
}

// OriginOf returns the origin of a stream that a server begins.
func OriginOf(s BackendServer) StreamOrigin {
	origin := StreamOrigin{Service: s.Service, SoftwareVersion: s.SoftwareVersion}
	if s.SoftwareVersion == "" {
		origin.Server = s.Start()
	}
	return origin
}

// Permits reports whether a server may continue the stream: it has the same software version, or, if
// that version is unknown, is the same incarnation. A nil origin permits every server.
func (o *StreamOrigin) Permits(s BackendServer) bool {
	switch {
	case o == nil:
		return true
	case o.Service != s.Service:
		return false
	case o.SoftwareVersion == "":
		return o.Server == s.Start()
	}
	return o.SoftwareVersion == s.SoftwareVersion
}

// StreamRecord states which server began a stream.
type StreamRecord struct {
	// Stream identifies the stream.
	Stream uint64       `cbor:"1,keyasint"`
	Origin StreamOrigin `cbor:"2,keyasint"`
	// ResumableFor is for how long the caller may still resume the stream.
	ResumableFor time.Duration `cbor:"3,keyasint"`
	// Content identifies the content of the stream's request, which is the same over all tries of
	// the caller. Callers that don't state which stream they resume are recognised by it.
	Content uint64 `cbor:"4,keyasint,omitempty"`
}

// StreamRecordRequest stores records, or looks up an origin if it has none.
type StreamRecordRequest struct {
	// ID identifies the request in its session.
	ID      uint64         `cbor:"1,keyasint"`
	Records []StreamRecord `cbor:"2,keyasint,omitempty"`
	// Key is the stream to look up, or the content of its request.
	Key uint64 `cbor:"3,keyasint,omitempty"`
}

// StreamRecordAnswer answers a StreamRecordRequest.
type StreamRecordAnswer struct {
	// ID is the ID of the request.
	ID uint64 `cbor:"1,keyasint"`
	// Origin is the origin of the stream, nil if it is not known.
	Origin *StreamOrigin `cbor:"2,keyasint,omitempty"`
	// Conflict is set if different origins were recorded for the stream.
	Conflict bool `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (StreamRecordRequest) Kind() Kind { return KindStreamRecordRequest }

// Kind implements Message.
func (StreamRecordAnswer) Kind() Kind { return KindStreamRecordAnswer }

var (
	_ = Register[StreamRecordRequest]()
	_ = Register[StreamRecordAnswer]()
)
