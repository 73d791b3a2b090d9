package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/jsonbody"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/trace"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// logBuffer is a writer that is safe for concurrent use and keeps what was written.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(line)
}

func (b *logBuffer) Close() error { return nil }

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

var _ = Describe("the HTTP API for callers", func() {
	It("answers each invalid request with its status, code and request ID as JSON", func() {
		v := startVM(newFakeControl(), "entry-1", nil)
		search, book := "/v1/search", "/v1/bookings"
		cases := []struct {
			method, path, kind, body string
			status                   int
			code                     string
		}{
			{"POST", search, "application/json", `{`, 400, "bad_request"},
			{"POST", search, "application/json", ``, 400, "bad_request"},
			{"POST", search, "application/json", `{"services":["a"],"services":["b"]}`, 400, "bad_request"},
			{"POST", search, "application/json", `{"services":["a"],"Services":["b"]}`, 400, "bad_request"},
			{"POST", search, "application/json", "{\"\u017fervices\":[\"a\"]}", 400, "bad_request"},
			{"POST", search, "application/json", "{\"query\":\"\xff\"}", 400, "bad_request"},
			{"POST", search, "application/json", `{"services":["clerk"]} {}`, 400, "bad_request"},
			{"POST", search, "application/json", `{"services":["clerk"],"other":1}`, 400, "bad_request"},
			{"POST", search, "application/json", `{"services":[]}`, 400, "bad_request"},
			{"POST", search, "application/json", `{"services":["` + strings.Repeat(`x","`, MaxServices) + `x"]}`, 400, "bad_request"},
			{"POST", search, "application/json", `{"services":["clerk"],"query":"` + strings.Repeat("q", MaxQueryBytes+1) + `"}`, 400, "bad_request"},
			{"POST", search, "application/json", `{"services":["clerk"],"timeout_ms":-1}`, 400, "bad_request"},
			{"POST", search, "application/json", `{"query":"` + strings.Repeat("q", MaxRequestBytes) + `"}`, 413, "too_large"},
			{"POST", search, "text/plain", `{"services":["clerk"]}`, 415, "unsupported_media"},
			{"POST", search, "application/json; charset=latin1", `{"services":["clerk"]}`, 415, "unsupported_media"},
			{"POST", book, "application/json", `{"service":"settlement","key":"","payload":1}`, 400, "bad_request"},
			{"POST", book, "application/json", `{"service":"settlement","key":"k"}`, 400, "bad_request"},
			{"POST", book, "application/json", `{"service":"settlement","key":"k","payload":{"a":{"b":1,"b":2}}}`, 400, "bad_request"},
			{"POST", book, "application/json", `{"service":"clerk","key":"k","payload":1}`, 400, "bad_request"},
			{"POST", book, "application/json", `{"service":"settlement","key":"k","payload":1}`, 503, "not_run"},
			{"POST", book, "application/json", `{"service":"settlement","key":"k","payload":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`, 400, "bad_request"},
			{"GET", search, "", ``, 405, "method_not_allowed"},
			{"GET", "/v2/search", "", ``, 404, "not_found"},
			{"POST", "//v1/search", "application/json", `{}`, 404, "not_found"},
		}
		for _, example := range cases {
			answer := send(example.method, v.url+example.path, example.kind, example.body)
			label := fmt.Sprintf("%s %s %.80s", example.method, example.path, example.body)
			Expect(answer.err).NotTo(HaveOccurred(), label)
			Expect(answer.status).To(Equal(example.status), label)
			Expect(answer.body["code"]).To(Equal(example.code), label)
			Expect(answer.body["status"]).NotTo(BeEmpty(), label)
			Expect(answer.body["request_id"]).To(Equal(answer.header.Get(upstreamapi.HeaderRequestID)), label)
		}
	})

	It("answers 408 if the body arrives too slowly, without limiting the duration of requests", func() {
		control := newFakeControl()
		startUpstream(control, "u1", "settlement", 2).delay = 700 * time.Millisecond
		v := startVM(control, "entry-1", func(config *Config) { config.BodyTimeout = 300 * time.Millisecond })
		Expect(v.book("long", 5000).status).To(Equal(http.StatusOK), "the body timeout must not apply to the rest of the request")
		conn, err := net.Dial("tcp", strings.TrimPrefix(v.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusRequestTimeout))
	})

	It("recovers from a panic in a handler and writes one log line for the request", func() {
		logs := &logBuffer{}
		v := startVMWithLog(newFakeControl(), "entry-1", nil, slog.New(slog.NewTextHandler(logs, nil)))
		answer := serveOnce(v.instrument(slog.LevelInfo, func(http.ResponseWriter, *http.Request) { panic("broken") }))
		Expect(answer.status).To(Equal(http.StatusInternalServerError))
		Expect(answer.header.Get(upstreamapi.HeaderRequestID)).To(Equal("given-1"))
		Expect(strings.Count(logs.String(), "msg=request ")).To(Equal(1))
		Expect(logs.String()).To(MatchRegexp(`request_id=given-1 .*caller=clerk status=500 code=internal latency_ms=\d+ missing=0`))
	})

	It("replaces a request ID that is not safe to write to a log", func() {
		request, _ := http.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set(upstreamapi.HeaderRequestID, "a b=\"c\"")
		Expect(requestIDOrNew(request)).To(MatchRegexp("^[0-9a-f]{16}$"))
	})

	It("refuses a request with a too large Content-Length without reading its body", func() {
		v := startVM(newFakeControl(), "entry-1", func(config *Config) { config.BodyTimeout = time.Minute })
		conn, err := net.Dial("tcp", strings.TrimPrefix(v.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Expect(conn.SetDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST /v1/search HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 1000000000\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(answer.Close).To(BeTrue())
	})

	// Guards against a booking that cannot be sent to any upstream and is still reported as one of unknown outcome.
	It("refuses a booking whose key cannot stand in a header", func() {
		control := newFakeControl()
		startUpstream(control, "u1", "settlement", 2)
		v := startVM(control, "entry-1", nil)
		for _, key := range []string{"k\n", "k\r\nOther: 1", "k\x00", " k", "k\t"} {
			Expect(v.book(key, 1000).status).To(Equal(http.StatusBadRequest))
		}
		Expect(v.book("k ü", 1000).status).To(Equal(http.StatusOK))
	})

	It("records a trace whose replay makes the same decisions", func() {
		file := &logBuffer{}
		recorder, err := trace.NewRecorder(file, "entry-1", 1<<20)
		Expect(err).NotTo(HaveOccurred())
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		upstream.crashOn = "poison"
		v := startVM(control, "entry-1", func(config *Config) { config.Recorder = recorder })
		for i := range 10 {
			Expect(v.book(fmt.Sprint("k", i%5), 1000).status).To(Equal(http.StatusOK))
		}
		v.bookPayload("p", `"poison"`, 1000)
		v.bookings.activeRuns.Wait()
		Expect(recorder.Close()).To(Succeed())
		report, err := trace.Replay(strings.NewReader(file.String()), trace.NewMachines())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Difference).To(BeNil())
		Expect(report.Records).To(BeNumerically(">", 30))
		Expect(file.String()).NotTo(ContainSubstring("poison"))
	})
})

// serveOnce sends one request to the handler over a real connection and returns the response.
func serveOnce(handler http.Handler) response {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(upstreamapi.HeaderRequestID, "given-1")
	request.Header.Set(HeaderCaller, "clerk")
	answer, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = answer.Body.Close() }()
	return response{status: answer.StatusCode, header: answer.Header}
}

func FuzzDecodeRequest(f *testing.F) {
	for _, seed := range []string{
		`{"service":"settlement","key":"k","payload":{"lot":17},"timeout_ms":500}`, `{"key":"a","key":"b"}`,
		`{"Key":"a"}`, "{\"key\":\"\xff\"}", `{"payload":[[[{"a":1,"a":2}]]]}`, `[`, `{}{}`, `null`, `"\ud800"`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request BookingRequest
		if jsonbody.Unmarshal(data, &request) != nil {
			return
		}
		if !utf8.Valid(data) {
			t.Fatal("accepted invalid UTF-8")
		}
		if checkBooking(&request) == nil && (request.Key == "" || request.TimeoutMillis <= 0 || len(request.Payload) == 0) {
			t.Fatalf("accepted an incomplete booking: %+v", request)
		}
	})
}

func FuzzDecodeAnnouncement(f *testing.F) {
	for _, seed := range []string{
		`{"name":"u","service":"settlement","address":"127.0.0.1:1","shard_count":1,"slots":2,"connections":25}`,
		`{"name":"listed","service":"clerk"}`, `{"slots":-1}`, `{"shard":9223372036854775807}`, `{"slots":1e3}`, `[]`,
	} {
		f.Add([]byte(seed))
	}
	config := model.Configuration{Inventory: model.Inventory{Services: []model.Service{{Name: "settlement", Kind: model.ServiceBooking}}}}
	f.Fuzz(func(t *testing.T, data []byte) {
		var announcement model.Announcement
		if jsonbody.Unmarshal(data, &announcement) != nil || checkAnnouncement(config, announcement) != nil {
			return
		}
		if announcement.Slots <= 0 || announcement.Connections <= 0 || announcement.Shard >= announcement.ShardCount || announcement.Name == "" {
			t.Fatalf("accepted an incomplete or contradictory announcement: %+v", announcement)
		}
	})
}
