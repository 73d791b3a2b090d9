package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var nextRequest atomic.Int64

// newRequestID returns an ID that no other request of this run has.
func newRequestID() string { return fmt.Sprintf("%016x", 0x5eed0000+nextRequest.Add(1)) }

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// text describes the answer in one line.
func (a answer) text() string {
	if a.err != nil {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d, stamp %q, part stamps %q, %d bytes", a.status, a.header.Get("Wisteriamux-Server-Stamp"),
		a.header.Get("Wisteriamux-Part-Stamps"), len(a.body))
}

// client is a client with one connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// send writes a request head as it is and reads the answer.
func (c *client) send(method, raw string, wait time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c.conn, raw); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

// head returns the head of a request without a body. Extra lines end with CRLF.
func head(method, target, host, id string, deadline time.Duration, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nWisteriamux-Request-Id: %s\r\nWisteriamux-Deadline-Ms: %d\r\n%s\r\n", method, target, host, id, deadline.Milliseconds(), extra)
}

// get sends one request on a new connection.
func get(address, target, host string, deadline time.Duration) (id string, a answer) {
	id = newRequestID()
	c, err := connect(address)
	if err != nil {
		return id, answer{err: err}
	}
	defer c.close()
	return id, c.send(http.MethodGet, head(http.MethodGet, target, host, id, deadline, ""), deadline+time.Second)
}
