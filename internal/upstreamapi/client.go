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
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	// MaxResponseBytes limits the body of a response.
	MaxResponseBytes = 8 << 20
	// MaxResponseHeaderBytes limits the header of a response.
	MaxResponseHeaderBytes = 64 << 10
	// MaxBookingResponseBytes limits the response to a booking, which is stored in the Raft log.
	MaxBookingResponseBytes = 64 << 10
)

// Call holds the parameters that every request to an upstream has in its headers.
type Call struct {
	RequestID string
	Timeout   time.Duration
	// Version is the index version and Generation the version of the shard map that the request is pinned to.
	Version    uint64
	Generation uint64
	// DedicatedConn sends the request on a new connection that is not reused. If it breaks, the cause cannot be that
	// the upstream closed it while it was idle.
	DedicatedConn bool
}

// Client sends requests to one upstream over at most its announced number of connections.
type Client struct {
	baseURL string
	// pooled reuses idle connections, dedicated opens a new connection for each request.
	pooled    *http.Transport
	dedicated *http.Transport
	sparePool *sparePool
	limiter   *RateLimiter
	memory    *responsemem.Memory
}

// NewClient returns a client of the upstream at the address. It divides the given number of connections among spare
// connections, dedicated connections, of which each request with DedicatedConn uses one and occupies one slot, and
// pooled connections. Together they never exceed that number. The limiter outlives a client whose upstream process has
// only changed its announcement. The memory is shared by all clients of a VM.
func NewClient(address string, connections, slots int, limiter *RateLimiter, memory *responsemem.Memory) *Client {
	spareCount := min(maxSpareConns, max(0, connections-slots))
	dedicated := min(slots, max(1, (connections-spareCount)/2))
	sparePool := newSparePool(address, spareCount)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		baseURL:   "http://" + address,
		pooled:    newTransport(sparePool.dialContext, max(1, connections-spareCount-dedicated), false),
		dedicated: newTransport(dialer.DialContext, dedicated, true),
		sparePool: sparePool,
		limiter:   limiter,
		memory:    memory,
	}
}

// dialFunc has the signature of net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newTransport(dial dialFunc, connections int, dedicated bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		// The default is 10 MB for each connection.
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
		DisableKeepAlives:      dedicated,
	}
}

// Close closes the idle and the spare connections. Requests in flight continue.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.sparePool.close()
}

// Search runs a search on one shard. It returns an error if the response is from another snapshot than the call's.
func (c *Client) Search(ctx context.Context, call Call, request SearchRequest) (SearchResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return SearchResponse{}, fault.New(fault.Internal, "upstream.search", "encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	data, err := c.post(ctx, PathSearch, call, body, nil, MaxResponseBytes)
	if err != nil {
		return SearchResponse{}, err
	}
	var response SearchResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return SearchResponse{}, fault.New(fault.UpstreamFailed, "upstream.search", "decode response: %w", err)
	}
	if response.Version != call.Version || response.Generation != call.Generation {
		return SearchResponse{}, fault.New(fault.SnapshotRetired, "upstream.search",
			"response has version %d and generation %d, request has version %d and generation %d",
			response.Version, response.Generation, call.Version, call.Generation)
	}
	return response, nil
}

// Book sends one attempt of a booking and waits for its outcome until the context ends. call.Timeout is only sent to
// the upstream and does not limit the wait. An error with the code NotRun means that the booking did not run; every
// other error has the code OutcomeUnknown.
//
// Each attempt uses a dedicated connection: an upstream may close an idle connection at the moment when a request is
// written to it, and such a booking could neither be retried nor be reported as not run. The cost is one connect per
// booking (1 ms at the settlement service), which is little next to two synced quorum writes.
func (c *Client) Book(ctx context.Context, call Call, key string, attempt uint64, payload []byte) ([]byte, error) {
	header := http.Header{}
	header.Set(HeaderBookingKey, key)
	header.Set(HeaderAttempt, strconv.FormatUint(attempt, 10))
	call.DedicatedConn = true
	data, err := c.post(ctx, PathBook, call, payload, header, MaxBookingResponseBytes)
	if err == nil || fault.Is(err, fault.NotRun) {
		return data, err
	}
	return nil, fault.New(fault.OutcomeUnknown, "upstream.book", "attempt %d: %w", attempt, err)
}

// IsCrash reports whether a fault.Error in the chain has the code UpstreamCrashed: the upstream dropped the
// connection of a request that was already being sent.
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

// post sends a request and returns the body of the response, which has at most limit bytes. A status other than 200 is an
// error.
func (c *Client) post(ctx context.Context, path string, call Call, body []byte, header http.Header, limit int64) ([]byte, error) {
	if err := c.limiter.take(time.Now()); err != nil {
		return nil, err
	}
	var conn *sealableConn
	var writesBefore uint64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*sealableConn)
		writesBefore = conn.writeCount()
	}}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), path, call, body, header)
	if err != nil {
		return nil, err
	}
	transport := c.pooled
	if call.DedicatedConn {
		transport = c.dedicated
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, transportError(ctx, err, conn.sealIfUnwritten(writesBefore))
	}
	defer func() { _ = response.Body.Close() }()
	c.limiter.observe(time.Now(), response.Header)
	data, err := c.memory.ReadBody(response.Body, response.ContentLength, limit, nil)
	switch {
	case fault.Is(err, fault.ResponseTooLarge):
		return nil, fault.New(fault.UpstreamFailed, "upstream.post", "%w", err)
	case err != nil:
		return nil, transportError(ctx, err, false)
	}
	return data, statusError(response, data)
}

func (c *Client) request(ctx context.Context, path string, call Call, body []byte, header http.Header) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Internal, "upstream.request", "build request: %w", err)
	}
	// Without GetBody the transport cannot resend the request on a new connection on its own. A booking must not be
	// sent twice, so only the entry VM decides about retries.
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

// transportError classifies an error of the transport. A request of which no byte was written did not run.
func transportError(ctx context.Context, err error, unwritten bool) error {
	if unwritten {
		return fault.New(fault.NotRun, "upstream.post", "no byte of the request was sent: %w", err)
	}
	if ctx.Err() != nil {
		return fault.New(fault.Cancelled, "upstream.post", "%w", ctx.Err())
	}
	return fault.New(fault.UpstreamCrashed, "upstream.post", "connection lost: %w", err)
}

// statusError returns the error for the status of a response, or nil for 200.
func statusError(response *http.Response, data []byte) error {
	switch {
	case response.StatusCode == http.StatusOK:
		return nil
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) == "true":
		return fault.New(fault.NotRun, "upstream.post", "upstream refused the request before it started, status %d", response.StatusCode)
	case response.StatusCode == http.StatusGone:
		return fault.New(fault.SnapshotRetired, "upstream.post", "upstream no longer serves the index version or shard map of the request")
	case response.StatusCode == http.StatusBadRequest:
		return fault.New(fault.BadRequest, "upstream.post", "upstream rejected the request: %.200s", data)
	}
	return fault.New(fault.UpstreamFailed, "upstream.post", "upstream returned status %d", response.StatusCode)
}

// Announce sends an upstream's announcement to an entry VM.
func Announce(ctx context.Context, client *http.Client, entryURL string, announcement model.Announcement) (AnnounceResponse, error) {
	body, err := json.Marshal(announcement)
	if err != nil {
		return AnnounceResponse{}, fault.New(fault.Internal, "announce", "encode announcement: %w", err)
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
	var decoded AnnounceResponse
	if err := json.Unmarshal(data, &decoded); err != nil {
		return AnnounceResponse{}, fault.New(fault.Unavailable, "announce", "decode response: %w", err)
	}
	return decoded, nil
}
