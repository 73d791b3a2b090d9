package entry

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/wisteriamux/wisteriamux/internal/bodydrain"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// responseRecorder records the status, fault code and number of missing shards of a response for the request log.
type responseRecorder struct {
	http.ResponseWriter
	status  int
	code    fault.Code
	missing int
}

// WriteHeader implements http.ResponseWriter and records the first status.
func (r *responseRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. Like net/http, it takes the status as 200 if none was written before.
func (r *responseRecorder) Write(data []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func recordCode(w http.ResponseWriter, code fault.Code) {
	if observed, ok := w.(*responseRecorder); ok {
		observed.code = code
	}
}

func recordMissing(w http.ResponseWriter, missing int) {
	if observed, ok := w.(*responseRecorder); ok {
		observed.missing = missing
	}
}

// instrument wraps a handler: it assigns the request ID, records metrics, writes one log line per request, and answers
// with an error if the handler panics.
func (s *Server) instrument(level slog.Level, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		requestID := requestIDOrNew(r)
		w.Header().Set(upstreamapi.HeaderRequestID, requestID)
		response := &responseRecorder{ResponseWriter: w}
		defer func() {
			if cause := recover(); cause != nil {
				s.answerPanic(response, requestID, cause)
			}
			s.countRequest(r, response.status, time.Since(started))
			s.log.Log(r.Context(), level, "request",
				"request_id", requestID, "path", r.URL.Path, "caller", callerOf(r), "status", response.status,
				"code", response.code, "latency_ms", time.Since(started).Milliseconds(), "missing", response.missing)
		}()
		next(response, r)
		if response.status == http.StatusRequestEntityTooLarge {
			bodydrain.FlushAndDrain(response, r)
		}
	})
}

// countRequest records the request in the metrics under its route template. Unknown paths share the name "other", so
// that callers cannot create new time series.
func (s *Server) countRequest(r *http.Request, status int, latency time.Duration) {
	if s.config.Metrics == nil {
		return
	}
	kind := "other"
	if route := mux.CurrentRoute(r); route != nil {
		if template, err := route.GetPathTemplate(); err == nil {
			kind = template
		}
	}
	s.config.Metrics.Request(kind, strconv.Itoa(status), latency)
}

func (s *Server) answerPanic(response *responseRecorder, requestID string, cause any) {
	s.log.Error("handler panicked", "request_id", requestID, "cause", cause, "stack", string(debug.Stack()))
	if response.status == 0 {
		writeError(response, fault.New(fault.Internal, "http", "internal error: the request handler panicked"), nil)
	}
}

func requestIDOf(w http.ResponseWriter) string { return w.Header().Get(upstreamapi.HeaderRequestID) }

// callerOf returns the caller's name from its header, cut to MaxKeyBytes. It is used for fair queueing and in logs.
func callerOf(r *http.Request) string {
	caller := r.Header.Get(HeaderCaller)
	if len(caller) > MaxKeyBytes {
		return caller[:MaxKeyBytes]
	}
	return caller
}

// requestIDOrNew returns the caller's request ID if it is safe to copy into headers, bodies and logs, and a random one
// otherwise.
func requestIDOrNew(r *http.Request) string {
	if id := r.Header.Get(upstreamapi.HeaderRequestID); isValidRequestID(id) {
		return id
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

func isValidRequestID(id string) bool {
	if id == "" || len(id) > MaxKeyBytes {
		return false
	}
	for _, letter := range []byte(id) {
		alphanumeric := letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' || letter >= '0' && letter <= '9'
		if !alphanumeric && letter != '-' && letter != '_' && letter != '.' && letter != ':' {
			return false
		}
	}
	return true
}
