package security

import (
	"net"
	"time"
)

// Transport opens and accepts the connections of a process, with TLS if its files are configured.
type Transport struct {
	store *CertStore
}

// NewTransport loads the files; without files the transport is plain.
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

// Dialer wraps a dialer for peers with one of the roles.
func (t *Transport) Dialer(dial func(address string) (net.Conn, error), allowed ...Role) func(address string) (net.Conn, error) {
	if t.store == nil {
		return dial
	}
	return t.store.Dialer(dial, allowed...)
}

// Listener wraps a listener for peers with one of the roles.
func (t *Transport) Listener(inner net.Listener, allowed ...Role) net.Listener {
	if t.store == nil {
		return inner
	}
	return t.store.Listener(inner, allowed...)
}
