package security

import (
	"net"
	"time"
)

// Transport wraps the dialers and listeners of a process with TLS if its files are configured.
type Transport struct {
	store *CertStore
}

// NewTransport loads the files. If none are configured, the transport uses no TLS.
func NewTransport(files Files) (*Transport, error) {
	if !files.Enabled() {
		return &Transport{}, nil
	}
	store, err := OpenCertStore(files, time.Now)
	if err != nil {
		return nil, err
	}
	return &Transport{store: store}, nil
}

// Dialer wraps a dialer as CertStore.Dialer does, or returns it unchanged without TLS.
func (t *Transport) Dialer(dial func(address string) (net.Conn, error), allowed ...Role) func(address string) (net.Conn, error) {
	if t.store == nil {
		return dial
	}
	return t.store.Dialer(dial, allowed...)
}

// Listener wraps a listener as CertStore.Listener does, or returns it unchanged without TLS.
func (t *Transport) Listener(inner net.Listener, allowed ...Role) net.Listener {
	if t.store == nil {
		return inner
	}
	return t.store.Listener(inner, allowed...)
}
