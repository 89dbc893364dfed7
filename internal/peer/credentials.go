package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/url"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
)

// Protocol is the application protocol and its version, negotiated in the TLS
// handshake. Processes without a common version refuse each other.
const Protocol = "oriolebend/1"

// uriScheme is the scheme of the URI that names a process in its certificate:
// oriolebend://role/name.
const uriScheme = "oriolebend"

// Identity is the name and role of a process in its certificate.
type Identity struct {
	// Name is the node's name.
	Name string
	// Role is the subcommand that the process runs as, such as "entry".
	Role string
}

// Material holds the certificate of a process and the authority of its peers.
type Material struct {
	Certificate tls.Certificate
	// Authority signed the certificates of the peers that are accepted; nil
	// accepts every peer under the name in its certificate.
	Authority *x509.CertPool
}

// Credentials provides the material for the next handshake.
type Credentials interface {
	Material() Material
}

// Fixed is a Credentials whose material never changes.
type Fixed Material

// Material implements Credentials.
func (f Fixed) Material() Material {
	return Material(f)
}

// IdentityOfCertificate reads the node's name and role from the URI of a
// certificate, or its name from the first DNS name.
func IdentityOfCertificate(c *x509.Certificate) (Identity, error) {
	for _, uri := range c.URIs {
		if uri.Scheme == uriScheme && uri.Path != "" {
			return Identity{Role: uri.Host, Name: strings.TrimPrefix(uri.Path, "/")}, nil
		}
	}
	if len(c.DNSNames) > 0 {
		return Identity{Name: c.DNSNames[0]}, nil
	}
	return Identity{}, errorf(CodeNoName, "", nil, "the certificate %q has no URI %s://role/name and no DNS name", c.Subject, uriScheme)
}

func identityURI(i Identity) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: i.Role, Path: "/" + i.Name}
}

// serverTLS reads the credentials for each handshake, so that the next connection
// uses reloaded ones.
func serverTLS(c Credentials, protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return handshakeTLS(c.Material(), protocols), nil
		},
	}
}

// handshakeTLS returns the configuration that both sides use. Peers are dialled by
// address and their names are not known before, so verify replaces the library's
// check of the host name: it checks authority and validity period and requires a name.
func handshakeTLS(m Material, protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{m.Certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		CurvePreferences:       curves(m),
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s, m.Authority)
		},
	}
}

// curves returns the key exchanges to use, nil for the library's default. Where every peer is
// accepted, a post-quantum key exchange protects nothing and only makes handshakes more
// expensive; hundreds of processes that start at the same moment carry out many of them.
func curves(m Material) []tls.CurveID {
	if m.Authority != nil {
		return nil
	}
	return []tls.CurveID{tls.X25519}
}

func verify(s tls.ConnectionState, authority *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errorf(CodeNoName, "", nil, "the peer sent no certificate")
	}
	leaf := s.PeerCertificates[0]
	identity, err := IdentityOfCertificate(leaf)
	if err != nil {
		return err
	}
	if authority == nil {
		return nil
	}
	return verifyChain(leaf, s.PeerCertificates[1:], authority, identity.Name)
}

func verifyChain(leaf *x509.Certificate, rest []*x509.Certificate, authority *x509.CertPool, name string) error {
	intermediates := x509.NewCertPool()
	for _, c := range rest {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return chainError(err, leaf, name)
}

func chainError(err error, leaf *x509.Certificate, name string) error {
	if err == nil {
		return nil
	}
	if invalid, ok := errors.AsType[x509.CertificateInvalidError](err); ok && invalid.Reason == x509.Expired {
		return errorf(CodeExpired, name, err, "valid from %s to %s",
			leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	return errorf(CodeWrongAuthority, name, err, "issued by %q", leaf.Issuer)
}

// resetKey derives the key of stateless resets from the private key. A process that
// restarts with another key could not reset its peers' old connections; their next
// sessions would then hang until the connection times out instead of failing
// immediately.
func resetKey(m Material) *quic.StatelessResetKey {
	encoded, err := x509.MarshalPKCS8PrivateKey(m.Certificate.PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("oriolebend reset "), encoded...)))
	return &key
}
