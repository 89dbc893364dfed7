package message

import "time"

// KindCrashReports is the kind of CrashReports.
const KindCrashReports Kind = "crashReports"

// CrashReport reports that a server process exited when it had begun to work on a request.
// It does not mean that the request caused the crash.
type CrashReport struct {
	// Fingerprint identifies the content of the request, whichever process forwards it.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Instance and Incarnation identify the incarnation of the server.
	Instance    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the process exited.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Refuted is set once a server has answered the same request.
	Refuted bool `cbor:"5,keyasint,omitempty"`
	// Life numbers the process runs of one incarnation: a process that has restarted counts
	// as a further run of the previous incarnation until its own incarnation is known.
	Life int `cbor:"6,keyasint,omitempty"`
}

// Same reports whether two reports describe the same crash of a server under the same request
// and differ in nothing but their age.
func (r CrashReport) Same(other CrashReport) bool {
	r.Age = other.Age
	return r == other
}

// CrashReports carries the crash reports of a forwarder to control VMs, or to other
// forwarders while it can't reach a control VM.
type CrashReports struct {
	Reports []CrashReport `cbor:"reports"`
}

// Kind implements Message.
func (CrashReports) Kind() Kind { return KindCrashReports }

var _ = Register[CrashReports]()
