package message

import "time"

// KindCrashReports is the kind of CrashReports.
const KindCrashReports Kind = "crashReports"

// CrashReport reports that a server process exited when it had begun to work on a request, or on a
// prompt with a part. It does not mean that the request or the part caused the crash.
type CrashReport struct {
	// Fingerprint identifies the content of the request, whichever process forwards it.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Instance and Incarnation identify the incarnation of the server.
	Instance    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the process exited.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Refuted is set if an answer began after the crash; earlier releases know no AnsweredAge.
	Refuted bool `cbor:"5,keyasint,omitempty"`
	// Life numbers the process runs of one incarnation: a process that has restarted counts
	// as a further run of the previous incarnation until its own incarnation is known.
	Life int `cbor:"6,keyasint,omitempty"`
	// Part is set if Fingerprint identifies a part of prompts, which many requests share.
	Part bool `cbor:"7,keyasint,omitempty"`
	// AnsweredAge is how long ago the last answer that the sender knows began: to the same request,
	// or to a request with the same part. Zero means that it knows none.
	AnsweredAge time.Duration `cbor:"8,keyasint,omitempty"`
	// Requests are the fingerprints of some requests with the part that were at the crash; empty if
	// Fingerprint identifies a request.
	Requests []uint64 `cbor:"9,keyasint,omitempty"`
	// DomainServes is set if a server of the same service and failure domain has answered since the
	// crash, so that the domain was not lost.
	DomainServes bool `cbor:"10,keyasint,omitempty"`
}

// SameCrash reports whether two reports describe the same crash of a server under the same request
// or part.
func (r CrashReport) SameCrash(other CrashReport) bool {
	return r.Fingerprint == other.Fingerprint && r.Instance == other.Instance && r.Incarnation == other.Incarnation && r.Life == other.Life
}

// Older returns the report as it is some time later.
func (r CrashReport) Older(by time.Duration) CrashReport {
	r.Age += by
	if r.AnsweredAge > 0 {
		r.AnsweredAge += by
	}
	return r
}

// CrashReports carries the crash reports of a forwarder to control VMs, or to other
// forwarders while it can't reach a control VM.
type CrashReports struct {
	Reports []CrashReport `cbor:"reports"`
}

// Kind implements Message.
func (CrashReports) Kind() Kind { return KindCrashReports }

var _ = Register[CrashReports]()
