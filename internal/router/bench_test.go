package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// benchCodec is a protocol of one header line.
type benchCodec struct{}

func (benchCodec) AppendHead(b []byte, r *upstreamconn.Request) []byte {
	return fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: x\r\nId: %s\r\n", r.Target, r.ID)
}

func (benchCodec) Inspect(a *upstreamconn.Answer) { a.Stamp = a.Header.Get("Stamp") }

// answerAll answers every request on the connection with one part.
func answerAll(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	reply := []byte("HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 32\r\n\r\n0123456789abcdef0123456789abcdef")
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > 2 {
			continue
		}
		if _, err := conn.Write(reply); err != nil {
			return
		}
	}
}

// BenchmarkSearch measures a search over 20 shards with upstreams that answer at once.
func BenchmarkSearch(b *testing.B) {
	const shards = 20
	rt := &route.Route{Name: "r", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Top: 10}
	var instances []registry.Instance
	for i := range shards {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go answerAll(conn)
			}
		}()
		name := fmt.Sprintf("s%d", i)
		rt.Shards = append(rt.Shards, name)
		instances = append(instances, registry.Instance{
			ID: name, Service: name, Address: listener.Addr().String(), Slots: 2, State: registry.Ready,
		})
	}
	r := New(Config{ID: "x", ExtraShare: 0.2, ExtraFloor: 50, ExtraWindow: time.Second}, nil, benchCodec{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r.adopt(controlrpc.WatchReply{Revision: 1, Watchers: 1, Instances: registry.Delta{Whole: true, Changed: instances}})
	b.ReportAllocs()
	for b.Loop() {
		request := &Request{Request: upstreamconn.Request{ID: "1", Method: "GET", Target: "/x"}, Received: time.Now(), Limit: time.Second}
		g, err := r.Search(context.Background(), r.View(), rt, request)
		if err != nil || len(g.Stamps) != shards {
			b.Fatal(err, g)
		}
	}
}
