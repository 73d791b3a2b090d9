package main

import (
	"net"
	"sync"
	"time"
)

// linkDial bounds connecting to the process behind a link.
const linkDial = time.Second

// link is a proxy in front of one port of a machine. It is safe for concurrent use.
type link struct {
	listener net.Listener
	target   string

	// mu guards the fields below.
	mu    sync.Mutex
	conns []net.Conn
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go l.accept()
	return l, nil
}

// close ends the link and all its connections.
func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

func (l *link) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.target, linkDial)
	if err != nil {
		_ = client.Close()
		return
	}
	l.mu.Lock()
	l.conns = append(l.conns, client, server)
	l.mu.Unlock()
	go l.copy(server, client)
	l.copy(client, server)
}

// copy forwards one direction until it ends.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
