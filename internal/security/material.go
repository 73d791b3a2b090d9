// Package security provides mutual TLS between the system's processes and towards operators. Certificates are reloaded
// while the process runs, and the role and name of a peer are checked.
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

// Files names the PEM files of a process.
type Files struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Enabled reports whether TLS is configured.
func (f Files) Enabled() bool { return f != Files{} }

// Role is the role of a process in its certificate.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// identityScheme is the scheme of the URI in a certificate: wisteriamux://ROLE/NAME.
const identityScheme = "wisteriamux"

// Identity is who a certificate belongs to.
type Identity struct {
	Role Role
	Name string
}

// URI returns the identity as it stands in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Role), Path: "/" + i.Name}
}

// IdentityOf returns the identity of a certificate.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	for _, uri := range certificate.URIs {
		if uri.Scheme == identityScheme {
			return Identity{Role: Role(uri.Host), Name: strings.TrimPrefix(uri.Path, "/")}, nil
		}
	}
	return Identity{}, fault.New(fault.Forbidden, "security.identity", "certificate %q carries no identity", certificate.Subject.CommonName)
}

// material is one loaded set of files.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	stamp       stamp
}

// stamp detects changed files.
type stamp [3]time.Time

// reloadInterval bounds how often the files are looked at. A handshake within it uses the loaded set.
const reloadInterval = time.Second

// CertStore holds the current certificates and reloads them when their files change. A set of files that does not load is
// ignored while an earlier one is in use, so that a half-written update does not cut connections off.
type CertStore struct {
	files Files
	now   func() time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	current material
	checked time.Time
	failure error
}

// OpenCertStore loads the files.
func OpenCertStore(files Files, now func() time.Time) (*CertStore, error) {
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	return &CertStore{files: files, now: now, current: loaded, checked: now()}, nil
}

func load(files Files) (material, error) {
	stamped, err := stampOf(files)
	if err != nil {
		return material{}, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return material{}, fault.New(fault.Settings, "security.load", "certificate %s with key %s: %w", files.Certificate, files.Key, err)
	}
	data, err := os.ReadFile(files.Authority)
	if err != nil {
		return material{}, fault.New(fault.Settings, "security.load", "authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return material{}, fault.New(fault.Settings, "security.load", "authority %s holds no certificate", files.Authority)
	}
	return material{certificate: certificate, authority: authority, stamp: stamped}, nil
}

func stampOf(files Files) (stamp, error) {
	var stamped stamp
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return stamped, fault.New(fault.Settings, "security.load", "%w", err)
		}
		stamped[i] = info.ModTime()
	}
	return stamped, nil
}

// material returns the current set, reloaded if the files changed.
func (s *CertStore) material() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now().Sub(s.checked) < reloadInterval {
		return s.current
	}
	s.checked = s.now()
	stamped, err := stampOf(s.files)
	if err == nil && stamped == s.current.stamp {
		s.failure = nil
		return s.current
	}
	loaded, err := load(s.files)
	s.failure = err
	if err == nil {
		s.current = loaded
	}
	return s.current
}

// ReloadError returns why the newest files could not be loaded, or nil.
func (s *CertStore) ReloadError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// config returns a TLS configuration for one handshake. Processes are addressed by IP number, so the identity in the
// certificate is checked in place of a host name.
func (s *CertStore) config(allowed []Role) *tls.Config {
	loaded := s.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{loaded.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// The chain and the identity are verified below.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, loaded.authority, allowed, s.now())
		},
	}
}

func verify(state tls.ConnectionState, authority *x509.CertPool, allowed []Role, now time.Time) error {
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
		return fault.New(fault.Forbidden, "security.verify", "peer certificate: %w", err)
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

// Listener accepts TLS connections from peers with one of the roles. Each handshake uses the newest files.
func (s *CertStore) Listener(inner net.Listener, allowed ...Role) net.Listener {
	config := s.config(allowed)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.config(allowed), nil }
	return tls.NewListener(inner, config)
}

// handshakeTimeout bounds a handshake with a peer that accepts the connection but does not answer.
const handshakeTimeout = 2 * time.Second

// Dialer wraps a dialer so that connections are TLS to a peer with one of the roles.
func (s *CertStore) Dialer(dial func(address string) (net.Conn, error), allowed ...Role) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		raw, err := dial(address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, s.config(allowed))
		_ = raw.SetDeadline(s.now().Add(handshakeTimeout))
		if err := conn.Handshake(); err != nil {
			_ = raw.Close()
			return nil, fault.New(fault.Unavailable, "security.dial", "%s: %w", address, err)
		}
		_ = raw.SetDeadline(time.Time{})
		return conn, nil
	}
}

// Valid reports whether the role is known.
func (r Role) Valid() bool { return r == RoleEntry || r == RoleControl || r == RoleOperator }
