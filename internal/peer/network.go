package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
)

// NetworkCredentials returns credentials for a network that only the system's own
// processes can reach: the certificate is self-signed, and every peer is accepted.
//
// The key is derived from the identity. A process that restarts has the same key
// and can reset its peers' old connections immediately; with a new key the peers
// would find out only by a timeout, seconds later. The key protects nothing, since
// every process can compute it.
func NetworkCredentials(identity Identity) (Credentials, error) {
	seed := sha256.Sum256([]byte("oriolebend network " + identity.Role + "/" + identity.Name))
	key := ed25519.NewKeyFromSeed(seed[:])
	template, err := newTemplate(identity.Name, authorityLife)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = append(template.URIs, identityURI(identity))
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errorf(CodeMalformedFile, identity.Name, err, "sign the certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errorf(CodeMalformedFile, identity.Name, err, "read the certificate")
	}
	return Fixed(Material{Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}}), nil
}
