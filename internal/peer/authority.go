package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"time"
)

const (
	// authorityLife and certificateLife are how long the certificates of an
	// Authority itself and those that it issues are valid.
	authorityLife   = 10 * 365 * 24 * time.Hour
	certificateLife = 365 * 24 * time.Hour
	// clockSkew is how far the clock of a peer may be behind.
	clockSkew = 5 * time.Minute
	// serialBits is the size of a certificate's serial number.
	serialBits = 120
)

// Authority signs the certificates of processes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// DevAuthority creates an authority in memory, for dev and tests.
func DevAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errorf(CodeMalformedFile, "", err, "generate the authority's key")
	}
	template, err := newTemplate("oriolebend authority", authorityLife)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	certificate, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue generates a key and a certificate for a process.
func (a *Authority) Issue(identity Identity) (Material, error) {
	return a.IssueFor(identity, certificateLife)
}

// IssueFor is Issue with a certificate that is valid for life from now.
func (a *Authority) IssueFor(identity Identity, life time.Duration) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, errorf(CodeMalformedFile, identity.Name, err, "generate the key")
	}
	template, err := newTemplate(identity.Name, life)
	if err != nil {
		return Material{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{identityURI(identity)}
	certificate, err := sign(template, a.certificate, key, a.key)
	if err != nil {
		return Material{}, err
	}
	return Material{
		Certificate: tls.Certificate{
			Certificate: [][]byte{certificate.Raw},
			PrivateKey:  key,
			Leaf:        certificate,
		},
		Authority: a.Pool(),
	}, nil
}

// Certificate returns the authority's own certificate in DER.
func (a *Authority) Certificate() []byte { return a.certificate.Raw }

// Pool returns a pool with the authority as the only root.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errorf(CodeMalformedFile, name, err, "generate a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, errorf(CodeMalformedFile, template.Subject.CommonName, err, "sign the certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errorf(CodeMalformedFile, template.Subject.CommonName, err, "parse the signed certificate")
	}
	return certificate, nil
}
