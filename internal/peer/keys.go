package peer

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Types of PEM blocks.
const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// Names of files that IssueFiles writes.
const (
	authorityName   = "authority"
	certificateFile = ".pem"
	keyFile         = ".key"
)

const (
	folderMode fs.FileMode = 0o755
	publicMode fs.FileMode = 0o644
	secretMode fs.FileMode = 0o600
)

// Roles in certificates of the system's own processes.
const (
	RoleEntry     = "entry"
	RoleForwarder = "forwarder"
	RoleSidecar   = "sidecar"
	RoleControl   = "control"
)

// ParseIdentity reads "role/name", such as "entry/entry-1".
func ParseIdentity(text string) (Identity, error) {
	role, name, ok := strings.Cut(text, "/")
	if !ok || role == "" || name == "" || strings.ContainsAny(name, `/\`) {
		return Identity{}, errorf(CodeNoName, text, nil, "allowed is role/name, such as entry/entry-1")
	}
	return Identity{Role: role, Name: name}, nil
}

// IssueFiles writes a key and a certificate for each identity into a folder,
// as name.key and name.pem. The authority in the folder signs them; it is created if
// the folder has none. Existing pairs are replaced. The folder's authority.key can
// sign for any name: keep it off the VMs.
func IssueFiles(dir string, identities ...Identity) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errorf(CodeMissingFile, "", err, "create the folder")
	}
	authority, err := openAuthority(dir)
	if err != nil {
		return err
	}
	for _, identity := range identities {
		if identity.Name == authorityName {
			return errorf(CodeNoName, identity.Name, nil, "the name is reserved for the authority")
		}
		material, err := authority.Issue(identity)
		if err != nil {
			return err
		}
		key, _ := material.Certificate.PrivateKey.(*ecdsa.PrivateKey)
		if err := writePair(dir, identity.Name, material.Certificate.Leaf, key); err != nil {
			return err
		}
	}
	return nil
}

// openAuthority reads the folder's authority or creates one. It creates none if one of
// the two files exists: certificates signed with the lost key would no longer be
// trusted.
func openAuthority(dir string) (*Authority, error) {
	path := filepath.Join(dir, authorityName)
	_, errKey := os.Stat(path + keyFile)
	_, errCertificate := os.Stat(path + certificateFile)
	if errors.Is(errKey, fs.ErrNotExist) && errors.Is(errCertificate, fs.ErrNotExist) {
		return makeAuthority(dir)
	}
	key, err := readKey(path + keyFile)
	if err != nil {
		return nil, err
	}
	list, err := readCertificates(path + certificateFile)
	if err != nil {
		return nil, err
	}
	signer, ok := key.(*ecdsa.PrivateKey)
	if !ok || !signer.PublicKey.Equal(list[0].PublicKey) {
		return nil, errorf(CodeKeyMismatch, authorityName, nil, "%s%s is not the authority's key", path, keyFile)
	}
	return &Authority{certificate: list[0], key: signer}, nil
}

func makeAuthority(dir string) (*Authority, error) {
	authority, err := DevAuthority()
	if err != nil {
		return nil, err
	}
	return authority, writePair(dir, authorityName, authority.certificate, authority.key)
}

func writePair(dir, name string, certificate *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errorf(CodeMalformedFile, name, err, "encode the key")
	}
	path := filepath.Join(dir, name)
	if err := writePEM(path+keyFile, pemKey, der, secretMode); err != nil {
		return err
	}
	return writePEM(path+certificateFile, pemCertificate, certificate.Raw, publicMode)
}

// writePEM writes a temporary file and renames it, so that a process that reloads
// meanwhile never reads an incomplete file.
func writePEM(path, kind string, der []byte, mode fs.FileMode) error {
	temporary := path + ".new"
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return errorf(CodeMissingFile, "", err, "write a file of the certificate")
	}
	if err := os.Rename(temporary, path); err != nil {
		return errorf(CodeMissingFile, "", err, "rename a file of the certificate")
	}
	return nil
}
