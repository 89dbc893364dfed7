package message

// Kind names the type of a message on the wire.
type Kind string

// Message is implemented by every struct of this package that travels alone.
type Message interface {
	// Kind returns the name under which the message travels.
	Kind() Kind
}

// Attempt names one try of one request. Numbers start at 1 and grow by one
// for each dispatch of the request's work.
type Attempt struct {
	RequestID string `cbor:"1,keyasint" json:"requestID"`
	Number    uint32 `cbor:"2,keyasint" json:"number"`
}

// Phase is the part of a request's work that a session is for.
type Phase string

const (
	// PhasePrefill computes the KV cache of the prompt.
	PhasePrefill Phase = "prefill"
	// PhaseDecode imports the KV cache and generates the output.
	PhaseDecode Phase = "decode"
	// PhaseCall is one call of a plain service.
	PhaseCall Phase = "call"
)
