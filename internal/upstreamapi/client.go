package upstreamapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
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
)

// Call carries what every request to an upstream sends along.
type Call struct {
	RequestID  string
	Timeout    time.Duration
	Version    uint64
	Generation uint64
}

// Client sends requests to one upstream over at most its announced number of connections.
type Client struct {
	base      string
	transport *http.Transport
	spares    *spares
}

// NewClient returns a client of the upstream at the address. Connections beyond the slots are in part kept open as
// spares; together with those in use they never exceed the given number.
func NewClient(address string, connections, slots int) *Client {
	spare := min(maxSpares, max(0, connections-slots))
	spares := newSpares(address, spare)
	transport := &http.Transport{
		DialContext:         spares.dialContext,
		MaxConnsPerHost:     connections - spare,
		MaxIdleConnsPerHost: connections - spare,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{base: "http://" + address, transport: transport, spares: spares}
}

// Close closes the idle and the spare connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.spares.close()
}

// Search runs a search on one shard. A response of another snapshot than the call's is an error.
func (c *Client) Search(ctx context.Context, call Call, request SearchRequest) (SearchResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return SearchResponse{}, fault.New(fault.Internal, "upstream.search", "encode request: %w", err)
	}
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

// Book sends one attempt of a booking. Only an error with the code NotRun means that the booking did not run.
func (c *Client) Book(ctx context.Context, call Call, key string, attempt uint64, payload []byte) ([]byte, error) {
	header := http.Header{}
	header.Set(HeaderBookingKey, key)
	header.Set(HeaderAttempt, strconv.FormatUint(attempt, 10))
	data, err := c.post(ctx, PathBook, call, payload, header)
	if err == nil || fault.Is(err, fault.NotRun) || fault.Is(err, fault.BadRequest) {
		return data, err
	}
	return nil, fault.New(fault.OutcomeUnknown, "upstream.book", "attempt %d: %w", attempt, err)
}

func (c *Client) post(ctx context.Context, path string, call Call, body []byte, header http.Header) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Internal, "upstream.post", "build request: %w", err)
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
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, transportFault(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, transportFault(ctx, err)
	}
	if len(data) > MaxResponseBytes {
		return nil, fault.New(fault.UpstreamFailed, "upstream.post", "response exceeds %d bytes", MaxResponseBytes)
	}
	return data, statusFault(response, data)
}

// transportFault classifies a failed exchange. A failed dial sent no byte, so the request did not run.
func transportFault(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.Cancelled, "upstream.post", "%w", ctx.Err())
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.New(fault.NotRun, "upstream.post", "connection failed: %w", err)
	}
	return fault.New(fault.UpstreamCrashed, "upstream.post", "connection lost: %w", err)
}

func statusFault(response *http.Response, data []byte) error {
	switch {
	case response.StatusCode == http.StatusOK:
		return nil
	case response.Header.Get(HeaderNotRun) == "true":
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
