package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	authorityName = "authority"
	serialBits    = 128
	// clockSkew backdates certificates, so that a VM whose clock is behind accepts them at once.
	clockSkew = 5 * time.Minute
)

// CreateAuthority writes the certificate and the key of a new certificate authority to the directory.
func CreateAuthority(dir string, lifetime time.Duration) error {
	template, err := newTemplate("wisteriamux authority", lifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fault.New(fault.Internal, "security.issue", "generate key: %w", err)
	}
	return writeKeyPair(dir, authorityName, template, template, key, key)
}

// Issue writes a new key and a certificate for the identity to the directory. The directory's authority signs it.
func Issue(dir string, identity Identity, lifetime time.Duration) (Files, error) {
	files := Files{
		Certificate: filepath.Join(dir, identity.Name+".crt"),
		Key:         filepath.Join(dir, identity.Name+".key"),
		Authority:   filepath.Join(dir, authorityName+".crt"),
	}
	authority, authorityKey, err := readAuthority(dir)
	if err != nil {
		return files, err
	}
	template, err := newTemplate(identity.Name, lifetime)
	if err != nil {
		return files, err
	}
	template.URIs = []*url.URL{identity.URI()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fault.New(fault.Internal, "security.issue", "generate key: %w", err)
	}
	return files, writeKeyPair(dir, identity.Name, template, authority, key, authorityKey)
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fault.New(fault.Internal, "security.issue", "generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func readAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := readPEM(filepath.Join(dir, authorityName+".crt"))
	if err != nil {
		return nil, nil, err
	}
	parsed, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, nil, fault.New(fault.Settings, "security.issue", "parse authority certificate: %w", err)
	}
	encoded, err := readPEM(filepath.Join(dir, authorityName+".key"))
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(encoded)
	if err != nil {
		return nil, nil, fault.New(fault.Settings, "security.issue", "parse authority key: %w", err)
	}
	return parsed, key, nil
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.Settings, "security.issue", "%w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fault.New(fault.Settings, "security.issue", "%s contains no PEM block", path)
	}
	return block.Bytes, nil
}

// writeKeyPair signs the template and writes the key and the certificate under the name.
func writeKeyPair(dir, name string, template, parent *x509.Certificate, key, signerKey *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signerKey)
	if err != nil {
		return fault.New(fault.Internal, "security.issue", "create certificate: %w", err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fault.New(fault.Internal, "security.issue", "encode key: %w", err)
	}
	if err := writePEM(filepath.Join(dir, name+".key"), "EC PRIVATE KEY", encoded, 0o600); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, name+".crt"), "CERTIFICATE", der, 0o644)
}

// writePEM replaces the file atomically, so that a process that reloads it never reads a partial file.
func writePEM(path, kind string, data []byte, mode os.FileMode) error {
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	temporaryPath := path + ".new"
	if err := os.WriteFile(temporaryPath, encoded, mode); err != nil {
		return fault.New(fault.StorageFailed, "security.issue", "%w", err)
	}
	if err := os.Rename(temporaryPath, path); err != nil {
		return fault.New(fault.StorageFailed, "security.issue", "%w", err)
	}
	return nil
}
