// Package security implements mutual TLS among the system's processes and with operators. It reloads certificates while
// the process runs and checks the role of a peer. It also creates the certificate authority and issues certificates.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Files holds the paths of the PEM files of a process. Authority is the certificate of the authority that signs all
// peers.
type Files struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Enabled reports whether TLS is configured.
func (f Files) Enabled() bool { return f != Files{} }

// Role is the role of a process or operator, as its certificate states it.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// identityScheme is the scheme of the URI in a certificate: wisteriamux://ROLE/NAME.
const identityScheme = "wisteriamux"

// Identity is the role and the name of a certificate's owner.
type Identity struct {
	Role Role
	Name string
}

// URI returns the URI that represents the identity in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Role), Path: "/" + i.Name}
}

// IdentityOf returns the identity in a certificate's URI names.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	for _, uri := range certificate.URIs {
		if uri.Scheme == identityScheme {
			return Identity{Role: Role(uri.Host), Name: strings.TrimPrefix(uri.Path, "/")}, nil
		}
	}
	return Identity{}, fault.New(fault.Forbidden, "security.identity", "certificate %q contains no identity", certificate.Subject.CommonName)
}

// keyMaterial is the content of Files as loaded at one time.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modTimes    modTimes
}

// modTimes holds the modification times of the certificate, key and authority file, by which changes are detected.
type modTimes [3]time.Time

// reloadInterval is the minimum time between two checks for changed files. A handshake within it uses the loaded files.
const reloadInterval = time.Second

// CertStore holds the current certificates and reloads them when their files change. If the new files cannot be loaded,
// it keeps the earlier ones, so that a partially written update does not make handshakes fail.
type CertStore struct {
	files Files
	now   func() time.Time

	// mu guards the fields below.
	mu          sync.Mutex
	current     keyMaterial
	checkedAt   time.Time
	reloadError error
}

// OpenCertStore loads the files and returns a store that reloads them.
func OpenCertStore(files Files, now func() time.Time) (*CertStore, error) {
	loaded, err := loadFiles(files)
	if err != nil {
		return nil, err
	}
	return &CertStore{files: files, now: now, current: loaded, checkedAt: now()}, nil
}

func loadFiles(files Files) (keyMaterial, error) {
	times, err := modTimesOf(files)
	if err != nil {
		return keyMaterial{}, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return keyMaterial{}, fault.New(fault.Settings, "security.load", "load certificate %s with key %s: %w", files.Certificate, files.Key, err)
	}
	data, err := os.ReadFile(files.Authority)
	if err != nil {
		return keyMaterial{}, fault.New(fault.Settings, "security.load", "read authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return keyMaterial{}, fault.New(fault.Settings, "security.load", "authority %s contains no certificate", files.Authority)
	}
	return keyMaterial{certificate: certificate, authority: authority, modTimes: times}, nil
}

func modTimesOf(files Files) (modTimes, error) {
	var times modTimes
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return times, fault.New(fault.Settings, "security.load", "%w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

// keyMaterial returns the current files, which it reloads if they have changed.
func (s *CertStore) keyMaterial() keyMaterial {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now().Sub(s.checkedAt) < reloadInterval {
		return s.current
	}
	s.checkedAt = s.now()
	times, err := modTimesOf(s.files)
	if err == nil && times == s.current.modTimes {
		s.reloadError = nil
		return s.current
	}
	loaded, err := loadFiles(s.files)
	s.reloadError = err
	if err == nil {
		s.current = loaded
	}
	return s.current
}

// ReloadError returns the error of the last reload, or nil if the newest files are in use.
func (s *CertStore) ReloadError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reloadError
}

// tlsConfig returns the TLS configuration for one handshake. Processes are addressed by IP address, so the role in the
// certificate is checked instead of a host name.
func (s *CertStore) tlsConfig(allowed []Role) *tls.Config {
	loaded := s.keyMaterial()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{loaded.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// VerifyConnection verifies the certificate chain and the role.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, loaded.authority, allowed, s.now())
		},
	}
}

// verifyPeer checks that the authority signed the peer's certificate and that the peer has one of the allowed roles.
func verifyPeer(state tls.ConnectionState, authority *x509.CertPool, allowed []Role, now time.Time) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Forbidden, "security.verify", "peer sent no certificate")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	options := x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := leaf.Verify(options); err != nil {
		return fault.New(fault.Forbidden, "security.verify", "verify peer certificate: %w", err)
	}
	identity, err := IdentityOf(leaf)
	if err != nil {
		return err
	}
	for _, role := range allowed {
		if identity.Role == role {
			return nil
		}
	}
	return fault.New(fault.Forbidden, "security.verify", "peer %s/%s has none of the roles %v", identity.Role, identity.Name, allowed)
}

// Listener wraps a listener so that it accepts only TLS connections from peers with one of the roles. Each handshake
// uses the newest files.
func (s *CertStore) Listener(inner net.Listener, allowed ...Role) net.Listener {
	tlsConfig := s.tlsConfig(allowed)
	tlsConfig.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.tlsConfig(allowed), nil }
	return tls.NewListener(inner, tlsConfig)
}

// handshakeTimeout limits a handshake with a peer that accepts the connection but does not answer.
const handshakeTimeout = 2 * time.Second

// Dialer wraps a dialer so that it opens TLS connections and accepts only peers with one of the roles.
func (s *CertStore) Dialer(dial func(address string) (net.Conn, error), allowed ...Role) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		raw, err := dial(address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, s.tlsConfig(allowed))
		_ = raw.SetDeadline(s.now().Add(handshakeTimeout))
		if err := conn.Handshake(); err != nil {
			_ = raw.Close()
			return nil, fault.New(fault.Unavailable, "security.dial", "%s: %w", address, err)
		}
		_ = raw.SetDeadline(time.Time{})
		return conn, nil
	}
}

// Valid reports whether the role is one of those defined here.
func (r Role) Valid() bool { return r == RoleEntry || r == RoleControl || r == RoleOperator }
