package message

import "time"

// KindCrashReports is the kind of CrashReports.
const KindCrashReports Kind = "crashReports"

// CrashReport tells that a start of a server ended while it began to work on a request.
// It doesn't tell that it ended because of that request.
type CrashReport struct {
	// Fingerprint identifies what the request asks for, whoever carries it.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Instance and Incarnation name the start of the server.
	Instance    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	// Age is how long ago it ended.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Refuted is set once a server has answered the same request.
	Refuted bool `cbor:"5,keyasint,omitempty"`
	// Life counts the lives of a start, as far as nobody has told that it began anew.
	Life int `cbor:"6,keyasint,omitempty"`
}

// Same reports whether two reports are of the same end of a server under the same request,
// and know the same of it.
func (r CrashReport) Same(other CrashReport) bool {
	r.Age = other.Age
	return r == other
}

// CrashReports carries what a forwarder has learnt to control VMs, or to other forwarders
// while it reaches none.
type CrashReports struct {
	Reports []CrashReport `cbor:"reports"`
}

// Kind implements Message.
func (CrashReports) Kind() Kind { return KindCrashReports }

var _ = Register[CrashReports]()
