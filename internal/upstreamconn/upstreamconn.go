// Package upstreamconn keeps the connections of one entry VM to upstreams and exchanges one request at a time on each.
// An answer is returned only whole; a connection on which anything unexpected was seen is closed. It never repeats a
// request by itself.
package upstreamconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// dialTimeout is far above a handshake, which takes milliseconds, and below the shortest deadline of a caller.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept that names no idle time; upstreams may close it at any moment.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the idle time that an upstream names, so that the two do not close and use a connection at
	// the same moment.
	idleMargin = 500 * time.Millisecond
	// userTimeoutMillis ends connections whose bytes are not acknowledged, in ms. A partition is silent otherwise.
	userTimeoutMillis = 1500
	readBufferBytes   = 2048
	// maxAnswerBytes bounds the memory of one answer.
	maxResponseBytes = 16 << 20
	// maxForeignAnswers bounds the late answers to earlier requests that are skipped on one connection.
	maxMismatchedResponses = 2
)

// Codec translates between requests and the upstream's protocol.
type Codec interface {
	// AppendHead appends the request line and the header of a request, without the empty line that ends it.
	AppendHead(buffer []byte, request *Request) []byte
	// Inspect fills in what the header of an answer says.
	DecodeHeader(response *Response)
}

// Request is one request to one upstream process.
type Request struct {
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Remaining is the time that the upstream may take.
	Remaining time.Duration
	// Instance is the process that is meant; another process at the address refuses.
	Instance string
}

// Answer is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RequestID is the request that the upstream says it answers, or empty.
	RequestID string
	// Stamp is the upstream's signature of the answer, or empty.
	Stamp string
	// NotRun is set if the upstream says that it did not run the request.
	NotRun bool
	// Misdirected is set if another process has the address. It implies NotRun.
	Misdirected bool
	// KeepFor is how long the upstream keeps an idle connection, 0 if it does not say.
	IdleTimeout time.Duration
}

// RequestError tells how far a request came that has no answer.
type RequestError struct {
	Err error
	// Sent is set if the upstream may have received the request.
	Sent bool
	// Unreachable is set if no connection could be made.
	Unreachable bool
}

// Error implements the error interface.
func (f *RequestError) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error { return f.Err }

func newRequestError(sent, unreachable bool, op, format string, args ...any) *RequestError {
	return &RequestError{Err: fault.New(fault.UpstreamFailed, "upstreamconn."+op, format, args...), Sent: sent, Unreachable: unreachable}
}

type conn struct {
	net.Conn
	reader    *bufio.Reader
	raw       syscall.RawConn
	idleUntil time.Time
}

// Pool holds the connections to one upstream address.
type Pool struct {
	address string
	codec   Codec

	// mu guards the fields below.
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(address string, codec Codec) *Pool { return &Pool{address: address, codec: codec} }

// Idle returns the number of connections that wait for a request.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Flush closes the idle connections, for example when one of them went silent.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// SweepIdleConnections closes connections that the upstream is about to close.
func (p *Pool) SweepIdleConnections(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		expired = append(expired, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Close closes the idle connections; those in use close after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdleConnections()
}

// Do sends the request on a connection that was open and silent a moment ago, or on a new one, and returns the whole
// answer. The error is a *Failure.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, reusable, err := p.roundTripOn(c, request)
	if !stop() || err != nil || !reusable {
		_ = c.Close()
		return response, err
	}
	p.putIdle(c, response)
	return response, nil
}

func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if now.Before(c.idleUntil) && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, newRequestError(false, ctx.Err() == nil, "dial", "%w", err)
	}
	c := &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
	if tcp, ok := raw.(*net.TCPConn); ok {
		c.setUserTimeout(tcp)
	}
	return c, nil
}

// prepare sets socket options. A system that lacks one still works, and a silent connection then ends with the request's
// deadline.
func (c *conn) setUserTimeout(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	c.raw = raw
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
}

// silent reports whether an idle connection is open and nothing has arrived on it.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	usable := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && usable
}

func (p *Pool) putIdle(c *conn, response *Response) {
	keep := defaultIdle
	if response.IdleTimeout > 0 {
		keep = max(response.IdleTimeout-idleMargin, response.IdleTimeout/2)
	}
	c.idleUntil = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) roundTripOn(c *conn, request *Request) (response *Response, reusable bool, err error) {
	head := p.codec.AppendHead(make([]byte, 0, 512), request)
	head = append(head, "\r\n"...)
	written := make(chan error, 1)
	if len(request.Body) == 0 {
		if _, err := c.Write(head); err != nil {
			return nil, false, newRequestError(true, false, "write", "%w", err)
		}
		written <- nil
	} else {
		// The upstream may answer before it has read a long body, so that both happen at once.
		go func() {
			buffers := net.Buffers{head, request.Body}
			_, err := buffers.WriteTo(c.Conn)
			written <- err
		}()
	}
	response, reusable, err = p.readResponse(c, request)
	select {
	case writeErr := <-written:
		return response, reusable && writeErr == nil, err
	default:
		// The rest of the body is due, which nobody needs any more.
		return response, false, err
	}
}

// read returns the answer to the request. Late answers to earlier requests are skipped, and spoil the connection.
func (p *Pool) readResponse(c *conn, request *Request) (*Response, bool, error) {
	for mismatched := 0; ; mismatched++ {
		response, closes, err := p.readNext(c, request)
		if err != nil {
			return nil, false, err
		}
		if response.RequestID == "" || response.RequestID == request.ID {
			return response, mismatched == 0 && !closes && c.reader.Buffered() == 0, nil
		}
		if mismatched >= maxMismatchedResponses || closes {
			return nil, false, newRequestError(true, false, "read", "answer to request %q on the connection of %q", response.RequestID, request.ID)
		}
	}
}

// readOne returns the next answer, and whether the connection ends with it.
func (p *Pool) readNext(c *conn, request *Request) (response *Response, closes bool, err error) {
	httpResponse, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, false, newRequestError(true, false, "read", "%w", err)
	}
	if httpResponse.StatusCode < http.StatusOK {
		return nil, false, newRequestError(true, false, "read", "unexpected interim status %d", httpResponse.StatusCode)
	}
	body, err := readBody(httpResponse)
	if err != nil {
		return nil, false, err
	}
	response = &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body}
	p.codec.DecodeHeader(response)
	return response, httpResponse.Close || (httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0), nil
}

func readBody(httpResponse *http.Response) ([]byte, error) {
	if httpResponse.ContentLength > maxResponseBytes {
		return nil, newRequestError(true, false, "read", "answer of %d bytes exceeds %d", httpResponse.ContentLength, maxResponseBytes)
	}
	var body bytes.Buffer
	if httpResponse.ContentLength > 0 {
		body.Grow(int(httpResponse.ContentLength))
	}
	n, err := io.Copy(&body, io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, newRequestError(true, false, "read", "%w", err)
	case n > maxResponseBytes:
		return nil, newRequestError(true, false, "read", "answer exceeds %d bytes", maxResponseBytes)
	}
	return body.Bytes(), nil
}
