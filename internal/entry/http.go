package entry

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// Bounds of callers' requests.
const (
	MaxRequestBytes      = 1 << 20
	MaxTimeoutMillis     = 60_000
	DefaultTimeoutMillis = 1_000
	MaxKeyBytes          = 128
	retryAfterSeconds    = 1
)

// HeaderCaller names the caller for fairness when no TLS identity is present.
const HeaderCaller = "Wisteria-Caller"

// ErrorResponse is the body of a refused or failed request.
type ErrorResponse struct {
	Status    string          `json:"status"`
	Code      fault.Code      `json:"code"`
	RequestID string          `json:"request_id"`
	Message   string          `json:"message"`
	Coverage  *model.Coverage `json:"coverage,omitempty"`
}

func (s *Server) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/search", s.handleSearch).Methods(http.MethodPost)
	router.HandleFunc("/v1/bookings", s.handleBooking).Methods(http.MethodPost)
	router.HandleFunc(upstreamapi.PathAnnounce, s.handleAnnounce).Methods(http.MethodPost)
	router.HandleFunc("/healthz", s.handleHealth).Methods(http.MethodGet)
	return router
}

func (s *Server) handleSearch(w http.ResponseWriter, r *http.Request) {
	requestID := requestIDOf(r)
	var request SearchRequest
	if err := decode(w, r, &request); err != nil {
		writeError(w, requestID, err, nil)
		return
	}
	if err := checkTimeout(&request.TimeoutMillis); err != nil {
		writeError(w, requestID, err, nil)
		return
	}
	response, err := s.search(r.Context(), requestID, r.Header.Get(HeaderCaller), request)
	if err != nil {
		writeError(w, requestID, err, &response.Coverage)
		return
	}
	writeJSON(w, searchStatus(response), response)
}

func (s *Server) handleBooking(w http.ResponseWriter, r *http.Request) {
	requestID := requestIDOf(r)
	var request BookingRequest
	if err := decode(w, r, &request); err != nil {
		writeError(w, requestID, err, nil)
		return
	}
	if err := checkBooking(&request); err != nil {
		writeError(w, requestID, err, nil)
		return
	}
	response, err := s.book(r.Context(), requestID, r.Header.Get(HeaderCaller), request)
	if err != nil {
		writeError(w, requestID, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

func checkBooking(request *BookingRequest) error {
	if request.Key == "" || len(request.Key) > MaxKeyBytes {
		return fault.New(fault.BadRequest, "book", "key must have 1 to %d bytes", MaxKeyBytes)
	}
	return checkTimeout(&request.TimeoutMillis)
}

func checkTimeout(millis *int64) error {
	if *millis == 0 {
		*millis = DefaultTimeoutMillis
	}
	if *millis < 1 || *millis > MaxTimeoutMillis {
		return fault.New(fault.BadRequest, "decode", "timeout_ms must be 1 to %d", MaxTimeoutMillis)
	}
	return nil
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if _, err := s.session.leased(); err != nil {
		http.Error(w, "no lease", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func requestIDOf(r *http.Request) string {
	if id := r.Header.Get(upstreamapi.HeaderRequestID); id != "" && len(id) <= MaxKeyBytes {
		return id
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

func decode(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return fault.New(fault.TooLarge, "decode", "request body exceeds %d bytes", MaxRequestBytes)
		}
		return fault.New(fault.BadRequest, "decode", "request body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.BadRequest, "decode", "request body has data after the JSON value")
	}
	return nil
}

// httpStatus maps codes to HTTP statuses; a code that is not listed is an internal error.
var httpStatus = map[fault.Code]int{
	fault.NotRun:         http.StatusServiceUnavailable,
	fault.OverShare:      http.StatusTooManyRequests,
	fault.OutcomeUnknown: http.StatusGatewayTimeout,
	fault.Incomplete:     http.StatusGatewayTimeout,
	fault.Conflict:       http.StatusConflict,
	fault.Quarantined:    http.StatusUnprocessableEntity,
	fault.BadRequest:     http.StatusBadRequest,
	fault.TooLarge:       http.StatusRequestEntityTooLarge,
	fault.RequestTimeout: http.StatusRequestTimeout,
	fault.NotFound:       http.StatusNotFound,
	fault.Forbidden:      http.StatusForbidden,
}

func writeError(w http.ResponseWriter, requestID string, err error, coverage *model.Coverage) {
	code := fault.CodeOf(err)
	status, ok := httpStatus[code]
	if !ok {
		status = http.StatusInternalServerError
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(w, status, ErrorResponse{Status: string(code), Code: code, RequestID: requestID, Message: err.Error(), Coverage: coverage})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encode response", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
