package peer

import (
	"cmp"
	"context"
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"log/slog"
	"os"
	"sync"
	"time"
)

// DefaultReloadEvery is how often Watch checks the files by default.
const DefaultReloadEvery = 5 * time.Second

// Files names the PEM files of a process's certificate.
type Files struct {
	// Certificate holds the process's certificate, followed by the intermediate
	// certificates, if any.
	Certificate string
	Key         string
	// Authority holds the certificates of the authorities whose peers are
	// accepted; two of them while one replaces the other.
	Authority string
}

// FileCredentials is a Credentials that reads its material from files and reloads it.
type FileCredentials struct {
	files Files

	lock     sync.RWMutex
	material Material
	stamps   stamps
}

// stamps identifies the versions of the three files by modification time and size.
// Versions are compared for equality: a check for a later time would miss a file that
// was replaced by an older one.
type stamps [3]stamp

type stamp struct {
	modified time.Time
	size     int64
}

// LoadFiles reads the files and checks that they match. Its *Error has CodeMissingFile,
// CodeMalformedFile, CodeKeyMismatch, CodeExpired, CodeWrongAuthority or CodeNoName.
func LoadFiles(f Files) (*FileCredentials, error) {
	c := &FileCredentials{files: f}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Material implements Credentials.
func (c *FileCredentials) Material() Material {
	c.lock.RLock()
	defer c.lock.RUnlock()
	return c.material
}

// Name returns the file name of the process's certificate.
func (c *FileCredentials) Name() string { return c.files.Certificate }

// Reload reads the files again. After an error the previous material stays in use.
// Open connections keep the certificate that they were established with.
func (c *FileCredentials) Reload() error {
	seen := c.files.stamps()
	material, err := c.files.read()
	if err != nil {
		return err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.material, c.stamps = material, seen
	return nil
}

// Watch reloads the files after they changed, until ctx ends; every is the interval
// between checks, zero means DefaultReloadEvery. A pair that is replaced file by file
// does not match for a moment; it is applied once it does.
func (c *FileCredentials) Watch(ctx context.Context, every time.Duration, logger *slog.Logger) {
	ticker := time.NewTicker(cmp.Or(every, DefaultReloadEvery))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.reloadChanged(logger)
		}
	}
}

func (c *FileCredentials) reloadChanged(logger *slog.Logger) {
	c.lock.RLock()
	unchanged := c.stamps == c.files.stamps()
	c.lock.RUnlock()
	if unchanged {
		return
	}
	if err := c.Reload(); err != nil {
		logger.Warn("certificate not taken up", "error", err)
		return
	}
	logger.Info("certificate taken up", "file", c.files.Certificate)
}

func (f Files) stamps() stamps {
	var s stamps
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			s[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return s
}

func (f Files) read() (Material, error) {
	chain, err := readCertificates(f.Certificate)
	if err != nil {
		return Material{}, err
	}
	key, err := readKey(f.Key)
	if err != nil {
		return Material{}, err
	}
	roots, err := readCertificates(f.Authority)
	if err != nil {
		return Material{}, err
	}
	pool := x509.NewCertPool()
	for _, root := range roots {
		pool.AddCert(root)
	}
	return f.verifyPair(chain, key, pool)
}

// verifyPair checks the pair as a peer with the same authority would, so that a wrong file is
// reported here and not by the refusals of peers.
func (f Files) verifyPair(chain []*x509.Certificate, key crypto.Signer, pool *x509.CertPool) (Material, error) {
	leaf := chain[0]
	identity, err := IdentityOfCertificate(leaf)
	if err != nil {
		return Material{}, err
	}
	public, ok := leaf.PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	if !ok || !public.Equal(key.Public()) {
		return Material{}, errorf(CodeKeyMismatch, identity.Name, nil, "%s does not hold the private key of %s", f.Key, f.Certificate)
	}
	if err := verifyChain(leaf, chain[1:], pool, identity.Name); err != nil {
		return Material{}, err
	}
	certificate := tls.Certificate{PrivateKey: key, Leaf: leaf}
	for _, c := range chain {
		certificate.Certificate = append(certificate.Certificate, c.Raw)
	}
	return Material{Certificate: certificate, Authority: pool}, nil
}

func readFile(name string) ([]byte, error) {
	if name == "" {
		return nil, errorf(CodeMissingFile, "", nil, "file name is empty")
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errorf(CodeMissingFile, "", err, "read a file of the certificate")
	}
	return data, nil
}

func readCertificates(name string) ([]*x509.Certificate, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, err
	}
	var list []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != pemCertificate {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errorf(CodeMalformedFile, "", err, "%s", name)
		}
		list = append(list, certificate)
	}
	if len(list) == 0 {
		return nil, errorf(CodeMalformedFile, "", nil, "%s holds no %s in PEM", name, pemCertificate)
	}
	return list, nil
}

func readKey(name string) (crypto.Signer, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, err
	}
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if key, ok := parseKey(block); ok {
			return key, nil
		}
	}
	return nil, errorf(CodeMalformedFile, "", nil, "%s holds no private key in PEM", name)
}

func parseKey(block *pem.Block) (crypto.Signer, bool) {
	if key, err := x509.ParsePKCS8PrivateKey(block.Bytes); err == nil {
		signer, ok := key.(crypto.Signer)
		return signer, ok
	}
	if key, err := x509.ParseECPrivateKey(block.Bytes); err == nil {
		return key, true
	}
	if key, err := x509.ParsePKCS1PrivateKey(block.Bytes); err == nil {
		return key, true
	}
	return nil, false
}
