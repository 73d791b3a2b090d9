// Package upstreamconn pools the HTTP/1.1 connections of an entry VM to upstreams, with one request at a time on each.
// It returns only complete responses, closes a connection after any protocol violation, and never retries a request.
package upstreamconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/notice"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
)

const (
	// dialTimeout is far above the duration of a TCP handshake, which takes milliseconds, and below the shortest deadline
	// of a caller.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout applies if the upstream does not announce an idle timeout and may close the connection at any
	// time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that an upstream announces, so that a connection is not used at the
	// moment when the upstream closes it.
	idleMargin = 500 * time.Millisecond
	// userTimeoutMillis is the TCP_USER_TIMEOUT in ms: it ends connections whose data is not acknowledged. Without it a
	// network partition would go unnoticed.
	userTimeoutMillis = 1500
	readBufferBytes   = 2048
	// maxStatus is the highest status of a response.
	maxStatus = 599
	// maxMismatchedResponses limits how many late responses to earlier requests are skipped on one connection.
	maxMismatchedResponses = 2
)

// Codec encodes the request header and decodes the response header of the upstream's protocol.
type Codec interface {
	// AppendHead appends the request line and the header of a request, without the empty line that ends the header. It returns an
	// error if a field has bytes that would end it or the header early.
	AppendHead(buffer []byte, request *Request) ([]byte, error)
	// DecodeHeader sets the fields of a response that are derived from its status and header.
	DecodeHeader(response *Response)
}

// Request is a request to one upstream process.
type Request struct {
	ID     string
	Method string
	// Target is the HTTP request target as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Caller identifies who sent the request to an entry VM, empty if that is not known. It is not sent to upstreams.
	Caller string
	// Remaining is the time that the upstream has left to respond.
	Remaining time.Duration
	// Instance is the ID of the intended process. Another process at the same address refuses the request.
	Instance string
	// MaxBodyBytes limits the body of the response; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Hold keeps the memory of the response until it is released; nil if the response is used only for a moment.
	Hold *responsemem.Hold
	// Check is called immediately before the request is written to a connection, and its error keeps it from being sent. It is
	// nil if there is nothing to check.
	Check func() error
}

// Response is a complete response from an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RequestID is the ID of the request that the upstream responds to, or empty if the response does not contain it.
	RequestID string
	// Stamp is the upstream's signature of the response, or empty.
	Stamp string
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is set if another process listens on the address. It implies NotRun.
	Misdirected bool
	// IdleTimeout is how long the upstream keeps an idle connection open, or 0 if it does not announce that.
	IdleTimeout time.Duration
	// RateLimit is what the response says about the request rate of the upstream, and Notice what else it says of it.
	RateLimit ratelimit.Statement
	Notice    notice.Notice
}

// RequestError is returned for a request without a complete response, and records how far the request got.
type RequestError struct {
	Err error
	// Sent is set if the upstream may have received the request.
	Sent bool
	// Unreachable is set if no connection could be established.
	Unreachable bool
	// Closed is set if the upstream closed or reset the connection after the request had been sent.
	Closed bool
}

// Error implements the error interface.
func (e *RequestError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

func newRequestError(sent, unreachable bool, op, format string, args ...any) *RequestError {
	err := fault.New(fault.UpstreamFailed, "upstreamconn."+op, format, args...)
	return &RequestError{Err: err, Sent: sent, Unreachable: unreachable, Closed: sent && closedByPeer(err)}
}

// sentError returns the error of a response that was given up because of a limit.
func sentError(err error) *RequestError { return &RequestError{Err: err, Sent: true} }

// closedByPeer reports whether the error means that the other side has closed or reset the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

type conn struct {
	net.Conn
	// bounded is the source of reader.
	bounded   *boundedReader
	reader    *bufio.Reader
	raw       syscall.RawConn
	idleUntil time.Time
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer for upstreams.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// Pool holds the connections to one upstream address. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  Dialer
	codec   Codec
	memory  *responsemem.Memory

	// mu guards the fields below.
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns an empty pool. The memory is shared by all pools of a VM.
func NewPool(address string, dialer Dialer, codec Codec, memory *responsemem.Memory) *Pool {
	return &Pool{address: address, dialer: dialer, codec: codec, memory: memory}
}

// IdleCount returns the number of idle connections.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// CloseIdleConnections closes all idle connections, for example after a connection to the upstream has stalled.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// SweepIdleConnections closes idle connections that have expired, which the upstream is about to close.
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

// Close closes the idle connections. Connections in use are closed after their response.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdleConnections()
}

// Do sends the request on an idle connection that is still usable, or on a new one, and returns the complete response.
// The error is a *RequestError, or that of request.Check.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, newRequestError(false, false, "send", "cancelled before the request was sent: %w", ctx.Err())
	}
	head, err := p.codec.AppendHead(make([]byte, 0, 512), request)
	if err != nil {
		return nil, newRequestError(false, false, "encode", "request header: %w", err)
	}
	head = append(head, "\r\n"...)
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, err
	}
	if request.Check != nil {
		if err := request.Check(); err != nil {
			p.giveBack(c)
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, reusable, err := p.roundTrip(c, head, request)
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
	raw, err := p.dialer(ctx, p.address)
	if err != nil {
		return nil, newRequestError(false, ctx.Err() == nil, "dial", "%w", err)
	}
	bounded := &boundedReader{source: raw}
	c := &conn{Conn: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes)}
	if tcp, ok := raw.(*net.TCPConn); ok {
		c.setUserTimeout(tcp)
	}
	return c, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT. Errors are ignored: without the option, a request on a stalled connection ends
// with its deadline.
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

// usable reports whether an idle connection is still open and has no unread data.
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
	keepFor := defaultIdleTimeout
	if response.IdleTimeout > 0 {
		keepFor = max(response.IdleTimeout-idleMargin, response.IdleTimeout/2)
	}
	c.idleUntil = time.Now().Add(keepFor)
	p.giveBack(c)
}

// giveBack makes a connection idle, or closes it if it is new, because the upstream has not said how long it stays open.
func (p *Pool) giveBack(c *conn) {
	if c.idleUntil.IsZero() {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) roundTrip(c *conn, head []byte, request *Request) (response *Response, reusable bool, err error) {
	written := make(chan error, 1)
	if len(request.Body) == 0 {
		if _, err := c.Write(head); err != nil {
			return nil, false, newRequestError(true, false, "write", "request header: %w", err)
		}
		written <- nil
	} else {
		// The upstream may respond before it has read a long body, so write and read concurrently.
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
		// The body has not been sent in full, so the connection cannot be reused.
		return response, false, err
	}
}

// readResponse returns the response to the request. Late responses to earlier requests are skipped, and the connection
// is not reused after one.
func (p *Pool) readResponse(c *conn, request *Request) (*Response, bool, error) {
	for skipped := 0; ; skipped++ {
		response, closes, err := p.readNext(c, request)
		if err != nil {
			return nil, false, err
		}
		if response.RequestID == "" || response.RequestID == request.ID {
			return response, skipped == 0 && !closes && c.reader.Buffered() == 0, nil
		}
		if skipped >= maxMismatchedResponses || closes {
			return nil, false, newRequestError(true, false, "read", "received the response to request %q while waiting for that to %q", response.RequestID, request.ID)
		}
	}
}

// ValidStatus reports whether a final response may have the status. An upstream in trouble may send any three digits, which
// net/http accepts, also 000.
func ValidStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// readNext returns the next response, and whether the connection closes after it.
func (p *Pool) readNext(c *conn, request *Request) (response *Response, closes bool, err error) {
	c.bounded.boundHead()
	httpResponse, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	c.bounded.unbound()
	switch {
	case errors.Is(err, errHeadTooLarge):
		return nil, false, sentError(p.memory.TooLarge("response header exceeds the limit of %d bytes", maxHeadBytes))
	case err != nil:
		return nil, false, newRequestError(true, false, "read", "response header: %w", err)
	case !ValidStatus(httpResponse.StatusCode):
		return nil, false, newRequestError(true, false, "read", "status %03d is not one of a final response, accepted: 200 to 599", httpResponse.StatusCode)
	}
	limit := cmp.Or(request.MaxBodyBytes, DefaultMaxBodyBytes)
	body, err := p.memory.ReadBody(httpResponse.Body, httpResponse.ContentLength, limit, request.Hold)
	switch {
	case fault.Is(err, fault.ResponseTooLarge):
		return nil, false, sentError(err)
	case err != nil:
		return nil, false, newRequestError(true, false, "read", "response body: %w", err)
	}
	response = &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body}
	p.codec.DecodeHeader(response)
	return response, httpResponse.Close || (httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0), nil
}
