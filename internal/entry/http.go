package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/net/http/httpguts"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/jsonbody"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// Limits and defaults for callers' requests.
const (
	MaxRequestBytes      = 1 << 20
	MaxTimeoutMillis     = 60_000
	DefaultTimeoutMillis = 1_000
	MaxKeyBytes          = 128
	MaxServices          = 512
	MaxQueryBytes        = 16 << 10
	retryAfterSeconds    = 1
)

// HeaderCaller is the header in which a request names its caller, for fair queueing when there is no TLS identity.
const HeaderCaller = "Wisteria-Caller"

// ErrorResponse is the body of a refused or failed request.
type ErrorResponse struct {
	Status    string          `json:"status"`
	Code      fault.Code      `json:"code"`
	RequestID string          `json:"request_id"`
	Message   string          `json:"message"`
	Coverage  *model.Coverage `json:"coverage,omitempty"`
}

type route struct {
	path    string
	method  string
	handler http.HandlerFunc
	// level is the level at which requests to this route are logged.
	level slog.Level
}

func (s *Server) routes() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	for _, route := range []route{
		{"/v1/search", http.MethodPost, s.handleSearch, slog.LevelInfo},
		{"/v1/bookings", http.MethodPost, s.handleBooking, slog.LevelInfo},
		{upstreamapi.PathAnnounce, http.MethodPost, s.handleAnnounce, slog.LevelDebug},
		{"/healthz", http.MethodGet, s.handleHealth, slog.LevelDebug},
		{"/v1/burn", http.MethodGet, s.handleBurn, slog.LevelDebug},
	} {
		router.Handle(route.path, s.instrument(route.level, route.handler)).Methods(route.method)
		router.Handle(route.path, s.instrument(slog.LevelInfo, methodNotAllowed(route.method)))
	}
	if s.config.Metrics != nil {
		router.Handle("/metrics", s.config.Metrics.Handler()).Methods(http.MethodGet)
	}
	router.NotFoundHandler = s.instrument(slog.LevelInfo, notFound)
	return router
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, fault.New(fault.NotFound, "http", "path %.100q does not exist", r.URL.Path), nil)
}

func methodNotAllowed(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", allowed)
		writeError(w, fault.New(fault.MethodNotAllowed, "http", "method %.20q is not allowed, use %s", r.Method, allowed), nil)
	}
}

func (s *Server) handleSearch(w http.ResponseWriter, r *http.Request) {
	var request SearchRequest
	if err := jsonbody.Decode(w, r, MaxRequestBytes, s.config.BodyTimeout, &request); err != nil {
		writeError(w, err, nil)
		return
	}
	if err := checkSearch(&request); err != nil {
		writeError(w, err, nil)
		return
	}
	started := time.Now()
	response, err := s.search(r.Context(), requestIDOf(w), callerOf(r), request)
	s.objectives.recordSearch(s.session.LatestView().View.Config, request.Services, response.Coverage, err, time.Since(started))
	recordMissing(w, len(response.Coverage.Missing))
	if err != nil {
		writeError(w, err, &response.Coverage)
		return
	}
	writeJSON(w, searchStatus(response), response)
}

func checkSearch(request *SearchRequest) error {
	if len(request.Services) == 0 || len(request.Services) > MaxServices {
		return fault.New(fault.BadRequest, "search", "services must have 1 to %d entries", MaxServices)
	}
	for _, service := range request.Services {
		if service == "" || len(service) > MaxKeyBytes {
			return fault.New(fault.BadRequest, "search", "each service name must have 1 to %d bytes", MaxKeyBytes)
		}
	}
	if len(request.Query) > MaxQueryBytes {
		return fault.New(fault.BadRequest, "search", "query is longer than %d bytes", MaxQueryBytes)
	}
	return checkTimeout(&request.TimeoutMillis)
}

func (s *Server) handleBooking(w http.ResponseWriter, r *http.Request) {
	var request BookingRequest
	if err := jsonbody.Decode(w, r, MaxRequestBytes, s.config.BodyTimeout, &request); err != nil {
		writeError(w, err, nil)
		return
	}
	if err := checkBooking(&request); err != nil {
		writeError(w, err, nil)
		return
	}
	started := time.Now()
	response, err := s.bookings.book(r.Context(), requestIDOf(w), callerOf(r), request)
	s.objectives.recordBooking(s.session.LatestView().View.Config, request.Service, err, time.Since(started))
	if err != nil {
		writeError(w, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

func checkBooking(request *BookingRequest) error {
	if request.Key == "" || len(request.Key) > MaxKeyBytes {
		return fault.New(fault.BadRequest, "book", "key must have 1 to %d bytes", MaxKeyBytes)
	}
	// The key is sent to upstreams in a header, where other bytes would make the outcome of the booking unknown.
	if !httpguts.ValidHeaderFieldValue(request.Key) || strings.TrimSpace(request.Key) != request.Key {
		return fault.New(fault.BadRequest, "book", "key %q contains characters that cannot be sent in a header", request.Key)
	}
	if len(request.Payload) == 0 {
		return fault.New(fault.BadRequest, "book", "payload is missing")
	}
	return checkTimeout(&request.TimeoutMillis)
}

func checkTimeout(millis *int64) error {
	if *millis == 0 {
		*millis = DefaultTimeoutMillis
	}
	if *millis < 1 || *millis > MaxTimeoutMillis {
		return fault.New(fault.BadRequest, "decode", "timeout_ms must be between 1 and %d", MaxTimeoutMillis)
	}
	return nil
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		writeError(w, fault.New(fault.NotRun, "health", "this entry VM is draining before a planned stop"), nil)
		return
	}
	if _, err := s.session.ViewForNewWork(); err != nil {
		writeError(w, err, nil)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Values of the status field of an error response that several codes share.
const (
	statusBadRequest = "bad_request"
	statusFailed     = "failed"
)

// errorStatus is what an error response tells the caller about a fault code.
type errorStatus struct {
	// http is the HTTP status code, status the field of that name in the body.
	http   int
	status string
}

// errorStatuses maps fault codes to statuses. A code that is not listed is reported as an internal error.
var errorStatuses = map[fault.Code]errorStatus{
	fault.NotRun:           {http.StatusServiceUnavailable, "not_run"},
	fault.LeaseLost:        {http.StatusServiceUnavailable, "not_run"},
	fault.OverShare:        {http.StatusTooManyRequests, "not_run"},
	fault.OutcomeUnknown:   {http.StatusGatewayTimeout, "outcome_unknown"},
	fault.Incomplete:       {http.StatusGatewayTimeout, "incomplete"},
	fault.Conflict:         {http.StatusConflict, "conflict"},
	fault.Quarantined:      {http.StatusUnprocessableEntity, "quarantined"},
	fault.BadRequest:       {http.StatusBadRequest, statusBadRequest},
	fault.TooLarge:         {http.StatusRequestEntityTooLarge, statusBadRequest},
	fault.RequestTimeout:   {http.StatusRequestTimeout, statusBadRequest},
	fault.UnsupportedMedia: {http.StatusUnsupportedMediaType, statusBadRequest},
	fault.MethodNotAllowed: {http.StatusMethodNotAllowed, statusBadRequest},
	fault.NotFound:         {http.StatusNotFound, statusBadRequest},
	fault.Forbidden:        {http.StatusForbidden, statusBadRequest},
	fault.Unavailable:      {http.StatusBadGateway, statusFailed},
}

func writeError(w http.ResponseWriter, err error, coverage *model.Coverage) {
	code := fault.CodeOf(err)
	reported, ok := errorStatuses[code]
	if !ok {
		reported = errorStatus{http.StatusInternalServerError, statusFailed}
	}
	if reported.http == http.StatusServiceUnavailable || reported.http == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	recordCode(w, code)
	body := ErrorResponse{Status: reported.status, Code: code, RequestID: requestIDOf(w), Message: err.Error(), Coverage: coverage}
	writeJSON(w, reported.http, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"status":"failed","code":"internal","request_id":"` + requestIDOf(w) + `","message":"encoding the response failed"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
