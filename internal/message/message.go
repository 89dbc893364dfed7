package message

// Kind names the type of a message on the wire.
type Kind string

// Message is implemented by every struct of this package that is sent as a message of
// its own, not only as part of another.
type Message interface {
	// Kind returns the name of the message's type on the wire.
	Kind() Kind
}

// Attempt identifies one attempt at one request. Numbers start at 1 and grow by one
// for each dispatch of the request's work.
type Attempt struct {
	RequestID string `cbor:"1,keyasint" json:"requestID"`
	Number    uint32 `cbor:"2,keyasint" json:"number"`
}

// Phase is the part of a request's work that a session carries out.
type Phase string

const (
	// PhasePrefill computes the KV cache of the prompt.
	PhasePrefill Phase = "prefill"
	// PhaseDecode imports the KV cache and generates the output.
	PhaseDecode Phase = "decode"
	// PhaseCall is one call of a plain service.
	PhaseCall Phase = "call"
)
