package upstreamapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	// MaxResponseBytes bounds an upstream's response.
	MaxResponseBytes = 8 << 20
	// MaxBookingResponseBytes bounds the response of a booking, which is stored in the replicated log.
	MaxBookingResponseBytes = 64 << 10
)

// Call carries what every request to an upstream sends along.
type Call struct {
	RequestID  string
	Timeout    time.Duration
	Version    uint64
	Generation uint64
	// DedicatedConn sends the request on a connection of its own, so that a lost connection is not a stale idle one.
	DedicatedConn bool
}

// Client sends requests to one upstream over at most its announced number of connections.
type Client struct {
	base string
	// pooled keeps idle connections; fresh opens a connection for each request.
	pooled *http.Transport
	fresh  *http.Transport
	spares *spares
}

// NewClient returns a client of the upstream at the address. Part of the connections is kept open as spares and part
// is left to requests that need a connection of their own, which take a slot each; all together never exceed the
// given number.
func NewClient(address string, connections, slots int) *Client {
	spare := min(maxSpares, max(0, connections-slots))
	fresh := min(slots, max(1, (connections-spare)/2))
	spares := newSpares(address, spare)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		base:   "http://" + address,
		pooled: newTransport(spares.dialContext, max(1, connections-spare-fresh), false),
		fresh:  newTransport(dialer.DialContext, fresh, true),
		spares: spares,
	}
}

// dialContext opens a connection as net.Dialer.DialContext does.
type dialContext func(ctx context.Context, network, address string) (net.Conn, error)

func newTransport(dial dialContext, connections int, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   fresh,
	}
}

// Close closes the idle and the spare connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.spares.close()
}

// Search runs a search on one shard. A response of another snapshot than the call's is an error.
func (c *Client) Search(ctx context.Context, call Call, request SearchRequest) (SearchResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return SearchResponse{}, fault.New(fault.Internal, "upstream.search", "encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	data, err := c.post(ctx, PathSearch, call, body, nil)
	if err != nil {
		return SearchResponse{}, err
	}
	var response SearchResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return SearchResponse{}, fault.New(fault.UpstreamFailed, "upstream.search", "decode response: %w", err)
	}
	if response.Version != call.Version || response.Generation != call.Generation {
		return SearchResponse{}, fault.New(fault.SnapshotRetired, "upstream.search",
			"response is of version %d generation %d, request of version %d generation %d",
			response.Version, response.Generation, call.Version, call.Generation)
	}
	return response, nil
}

// Book sends one attempt of a booking and waits for its outcome until the context ends; call.Timeout is only what the
// upstream is told. Only an error with the code NotRun means that the booking did not run; every other error has the
// code OutcomeUnknown.
//
// Each attempt has a connection of its own: an upstream may close an idle connection at the moment when a request is
// written to it, and such a booking could neither be repeated nor be called not run. The price is one connect per
// booking (1 ms at settlement), next to two synced quorum writes.
func (c *Client) Book(ctx context.Context, call Call, key string, attempt uint64, payload []byte) ([]byte, error) {
	header := http.Header{}
	header.Set(HeaderBookingKey, key)
	header.Set(HeaderAttempt, strconv.FormatUint(attempt, 10))
	call.DedicatedConn = true
	data, err := c.post(ctx, PathBook, call, payload, header)
	if err == nil && len(data) > MaxBookingResponseBytes {
		err = fault.New(fault.UpstreamFailed, "upstream.book", "response exceeds %d bytes", MaxBookingResponseBytes)
	}
	if err == nil || fault.Is(err, fault.NotRun) {
		return data, err
	}
	return nil, fault.New(fault.OutcomeUnknown, "upstream.book", "attempt %d: %w", attempt, err)
}

// IsCrash reports whether the error says that the upstream dropped the connection of a request that it had received.
func IsCrash(err error) bool {
	for err != nil {
		var typed *fault.Error
		if !errors.As(err, &typed) {
			return false
		}
		if typed.Code == fault.UpstreamCrashed {
			return true
		}
		err = typed.Err
	}
	return false
}

func (c *Client) post(ctx context.Context, path string, call Call, body []byte, header http.Header) ([]byte, error) {
	var conn *sealedConn
	var before uint64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*sealedConn)
		before = conn.writes()
	}}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), path, call, body, header)
	if err != nil {
		return nil, err
	}
	transport := c.pooled
	if call.DedicatedConn {
		transport = c.fresh
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, transportFault(ctx, err, conn.sealUnwritten(before))
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, transportFault(ctx, err, false)
	}
	if len(data) > MaxResponseBytes {
		return nil, fault.New(fault.UpstreamFailed, "upstream.post", "response exceeds %d bytes", MaxResponseBytes)
	}
	return data, statusFault(response, data)
}

func (c *Client) request(ctx context.Context, path string, call Call, body []byte, header http.Header) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Internal, "upstream.request", "build request: %w", err)
	}
	// Without GetBody the transport cannot resend the request on a new connection by itself. A booking must not be
	// sent twice, so resending is decided by the tier alone.
	request.GetBody = nil
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderTimeoutMillis, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	request.Header.Set(HeaderIndexVersion, strconv.FormatUint(call.Version, 10))
	request.Header.Set(HeaderShardGeneration, strconv.FormatUint(call.Generation, 10))
	return request, nil
}

// transportFault classifies a failed exchange. A request of which no byte was written did not run.
func transportFault(ctx context.Context, err error, unwritten bool) error {
	if unwritten {
		return fault.New(fault.NotRun, "upstream.post", "no byte was sent: %w", err)
	}
	if ctx.Err() != nil {
		return fault.New(fault.Cancelled, "upstream.post", "%w", ctx.Err())
	}
	return fault.New(fault.UpstreamCrashed, "upstream.post", "connection lost: %w", err)
}

func statusFault(response *http.Response, data []byte) error {
	switch {
	case response.StatusCode == http.StatusOK:
		return nil
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) == "true":
		return fault.New(fault.NotRun, "upstream.post", "upstream refused with status %d", response.StatusCode)
	case response.StatusCode == http.StatusGone:
		return fault.New(fault.SnapshotRetired, "upstream.post", "upstream no longer serves the snapshot")
	case response.StatusCode == http.StatusBadRequest:
		return fault.New(fault.BadRequest, "upstream.post", "upstream rejected the request: %.200s", data)
	}
	return fault.New(fault.UpstreamFailed, "upstream.post", "upstream answered status %d", response.StatusCode)
}

// Announce sends an announcement to an entry VM.
func Announce(ctx context.Context, client *http.Client, entryURL string, announcement model.Announcement) (AnnounceResponse, error) {
	body, err := json.Marshal(announcement)
	if err != nil {
		return AnnounceResponse{}, fault.New(fault.Internal, "announce", "encode: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entryURL+PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return AnnounceResponse{}, fault.New(fault.Internal, "announce", "build request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return AnnounceResponse{}, fault.New(fault.Unavailable, "announce", "%s: %w", entryURL, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes))
	if err != nil {
		return AnnounceResponse{}, fault.New(fault.Unavailable, "announce", "%s: %w", entryURL, err)
	}
	if response.StatusCode != http.StatusOK {
		return AnnounceResponse{}, fault.New(fault.Unavailable, "announce", "%s: status %d: %.200s", entryURL, response.StatusCode, data)
	}
	var answer AnnounceResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return AnnounceResponse{}, fault.New(fault.Unavailable, "announce", "decode response: %w", err)
	}
	return answer, nil
}
