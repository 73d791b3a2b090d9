package rpcconn

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the wait after a failed accept, which doubles with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Accept passes each connection of the listener to handle, in a goroutine of its own, until the listener is closed. An accept that fails
// because descriptors or memory are used up for a moment is tried again.
func Accept(listener net.Listener, log *slog.Logger, handle func(net.Conn)) {
	delay := minAcceptDelay
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
			go handle(conn)
			continue
		case errors.Is(err, net.ErrClosed):
			return
		}
		log.Warn("connection not accepted", "address", listener.Addr().String(), "retry_ms", delay.Milliseconds(), "error", err)
		time.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}
