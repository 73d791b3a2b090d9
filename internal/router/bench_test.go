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
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// benchCodec is a minimal HTTP codec that sends only the request ID.
type benchCodec struct{}

func (benchCodec) AppendHead(b []byte, r *upstreamconn.Request) ([]byte, error) {
	return fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: x\r\nId: %s\r\n", r.Target, r.ID), nil
}

func (benchCodec) DecodeHeader(a *upstreamconn.Response) { a.Stamp = a.Header.Get("Stamp") }

// serveParts responds to every request on the connection with the same part.
func serveParts(conn net.Conn) {
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

const benchShards = 20

// benchUpstreams starts one upstream per shard that responds immediately.
func benchUpstreams(b *testing.B, domain string) (*route.Route, controlrpc.WatchReply) {
	rt := &route.Route{Name: "r", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Top: 10}
	reply := controlrpc.WatchReply{Revision: 1, Watchers: 1, Instances: registry.Delta{Whole: true}}
	for i := range benchShards {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go serveParts(conn)
			}
		}()
		name := fmt.Sprintf("s%d", i)
		rt.Shards = append(rt.Shards, name)
		reply.Instances.Changed = append(reply.Instances.Changed, registry.Instance{
			ID: name, Service: name, FailureDomain: domain, Address: listener.Addr().String(), Slots: 2, State: registry.Ready,
		})
	}
	return rt, reply
}

func benchRouter(id, domain, relayAddress string) *Router {
	config := Config{ID: id, FailureDomain: domain, ExtraShare: 0.2, ExtraFloor: 50, ExtraWindow: time.Second,
		RelayAddress: relayAddress, DialRelay: controlrpc.PlainDialer}
	return New(config, nil, benchCodec{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func benchSearches(b *testing.B, r *Router, rt *route.Route) {
	b.ReportAllocs()
	for b.Loop() {
		request := &Request{Request: upstreamconn.Request{ID: "1", Method: "GET", Target: "/x"}, Received: time.Now(), Limit: time.Second}
		g, err := r.Search(context.Background(), rt, request)
		if err != nil || len(g.Stamps) != benchShards {
			b.Fatal(err, g)
		}
	}
}

// BenchmarkSearch measures a search over 20 shards on direct connections.
func BenchmarkSearch(b *testing.B) {
	rt, reply := benchUpstreams(b, "a")
	r := benchRouter("x", "a", "")
	r.adopt(reply)
	benchSearches(b, r, rt)
}

// BenchmarkRelayedSearch measures a search over 20 shards through one relay, including the work of both entry VMs.
func BenchmarkRelayedSearch(b *testing.B) {
	rt, reply := benchUpstreams(b, "b")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	relayRouter := benchRouter("carrier", "b", listener.Addr().String())
	relayRouter.adopt(reply)
	go relay.NewServer(relayRouter, relayRouter.log).Serve(listener)
	r := benchRouter("x", "a", "unused:1")
	r.adopt(reply)
	r.peers.Update([]controlrpc.Peer{{ID: "carrier", FailureDomain: "b", Address: listener.Addr().String()}}, time.Now())
	for r.peers.Pick("b", 0, nil, time.Now()) == nil {
		time.Sleep(time.Millisecond)
	}
	benchSearches(b, r, rt)
	if r.Counts().Relayed == 0 {
		b.Fatal("no attempt was relayed")
	}
}
