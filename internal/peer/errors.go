package peer

import (
	"crypto/tls"
	"errors"
	"fmt"
	"strings"

	"github.com/quic-go/quic-go"
)

// Code is the reason why a session, connection or certificate failed. Log lines and
// metric labels use the same text.
type Code string

// Codes of sessions.
const (
	CodeClosed      Code = "closed"      // this side closed the session
	CodePeerClosed  Code = "peerClosed"  // the peer closed the session and reads no further messages
	CodeReset       Code = "reset"       // the peer aborted the session before its end
	CodeStopping    Code = "stopping"    // the peer, or this process, accepts no new sessions
	CodeLost        Code = "lost"        // the connection broke or the peer restarted
	CodeSilent      Code = "silent"      // the peer sent nothing for Config.Silence
	CodeTooLarge    Code = "tooLarge"    // a frame exceeds the size limit
	CodeNoMemory    Code = "noMemory"    // a frame would exceed the memory for frames
	CodeUnknownKind Code = "unknownKind" // a frame's kind is not registered
	CodeGarbled     Code = "garbled"     // a frame can't be decoded
	CodeDenied      Code = "denied"      // the peer's role may not open such a session
	CodeUnreachable Code = "unreachable" // no connection could be established
	CodeVersion     Code = "version"     // the peer supports no protocol version of this process
	CodeAddress     Code = "address"     // the address is not IP:port, or can't be listened on
	CodeCancelled   Code = "cancelled"   // the context ended first
)

// Codes of certificates.
const (
	CodeMissingFile    Code = "missingFile"    // a file of the certificate can't be read
	CodeMalformedFile  Code = "malformedFile"  // a file holds no PEM of the kind expected
	CodeKeyMismatch    Code = "keyMismatch"    // the private key is not the certificate's
	CodeExpired        Code = "expired"        // the certificate has expired or is not valid yet
	CodeWrongAuthority Code = "wrongAuthority" // the certificate is not signed by the configured authority
	CodeNoName         Code = "noName"         // the certificate names no node
	CodeRefused        Code = "refused"        // the peer refused this process's certificate
)

// Error is the error type of this package.
type Error struct {
	Code Code
	// Peer is the name or address of the other side, if known.
	Peer string
	// Detail describes the failure or the operation that failed.
	Detail string
	// Cause is the wrapped error, if any.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := "peer " + string(e.Code)
	if e.Peer != "" {
		text += " (" + e.Peer + ")"
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Codes lists every code.
func Codes() []Code {
	return []Code{
		CodeClosed, CodePeerClosed, CodeReset, CodeStopping, CodeLost, CodeSilent, CodeTooLarge, CodeNoMemory,
		CodeUnknownKind, CodeGarbled, CodeDenied, CodeUnreachable, CodeVersion, CodeAddress, CodeCancelled,
		CodeMissingFile, CodeMalformedFile, CodeKeyMismatch, CodeExpired, CodeWrongAuthority, CodeNoName, CodeRefused,
	}
}

// CodeOf returns the code of an *Error, or "" for other errors.
func CodeOf(err error) Code {
	if typed, ok := errors.AsType[*Error](err); ok {
		return typed.Code
	}
	return ""
}

// Codes with which streams are reset on the wire.
const (
	streamReset    quic.StreamErrorCode = 1
	streamStopping quic.StreamErrorCode = 2
	streamGarbled  quic.StreamErrorCode = 3
	streamClosed   quic.StreamErrorCode = 4
	streamDenied   quic.StreamErrorCode = 5
)

// Codes with which connections are closed on the wire.
const (
	connectionIdle     quic.ApplicationErrorCode = 1
	connectionStopping quic.ApplicationErrorCode = 2
	connectionSilent   quic.ApplicationErrorCode = 3
	connectionRefused  quic.ApplicationErrorCode = 4
)

// QUIC reports TLS alerts as transport errors whose codes start at alertBase.
const (
	alertBase               = 0x100
	alertBadCertificate     = 42
	alertUnknownAuthority   = 48
	alertCertificateMissing = 116
	alertNoProtocol         = 120
)

// translate converts an error of the QUIC library into an *Error.
func translate(err error, peer string) error {
	if err == nil {
		return nil
	}
	if typed, ok := errors.AsType[*Error](err); ok {
		return typed
	}
	return &Error{Code: classify(err), Peer: peer, Cause: err}
}

func classify(err error) Code {
	if e, ok := errors.AsType[*quic.StreamError](err); ok {
		return streamCode(e)
	}
	if e, ok := errors.AsType[*quic.ApplicationError](err); ok {
		return connectionCode(e)
	}
	if e, ok := errors.AsType[*quic.TransportError](err); ok {
		return transportCode(e)
	}
	if _, ok := errors.AsType[*quic.IdleTimeoutError](err); ok {
		return CodeSilent
	}
	if _, ok := errors.AsType[*tls.CertificateVerificationError](err); ok {
		return CodeWrongAuthority
	}
	return CodeLost
}

func streamCode(e *quic.StreamError) Code {
	if !e.Remote {
		return CodeClosed
	}
	switch e.ErrorCode {
	case streamStopping:
		return CodeStopping
	case streamDenied:
		return CodeDenied
	case streamClosed:
		return CodePeerClosed
	default:
		return CodeReset
	}
}

func connectionCode(e *quic.ApplicationError) Code {
	switch e.ErrorCode {
	case connectionStopping:
		return CodeStopping
	case connectionSilent:
		return CodeSilent
	case connectionRefused:
		return CodeRefused
	default:
		return CodeLost
	}
}

func transportCode(e *quic.TransportError) Code {
	switch alert := int(e.ErrorCode) - alertBase; {
	case alert == alertNoProtocol:
		return CodeVersion
	case alert >= alertBadCertificate && alert <= alertUnknownAuthority, alert == alertCertificateMissing:
		return CodeRefused
	case strings.Contains(e.ErrorMessage, "no application protocol"):
		return CodeVersion
	default:
		return CodeLost
	}
}

func errorf(code Code, peer string, cause error, format string, a ...any) *Error {
	return &Error{Code: code, Peer: peer, Detail: fmt.Sprintf(format, a...), Cause: cause}
}
