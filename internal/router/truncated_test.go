package router

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// truncatingUpstream sends the first bytes of a response and closes the connection.
type truncatingUpstream struct {
	instance registry.Instance
	response atomic.Pointer[string]
	cut      atomic.Int64
}

func startTruncatingUpstream(id, service, domain string) *truncatingUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	u := &truncatingUpstream{instance: registry.Instance{
		ID: id, Service: service, FailureDomain: domain, Address: listener.Addr().String(), Slots: 2, State: registry.Ready,
	}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte((*u.response.Load())[:u.cut.Load()]))
				}
			}()
		}
	}()
	return u
}

var _ = Describe("an upstream that breaks off in the header of its response", func() {
	part := record('m')
	framings := map[string]string{
		"a length":                  fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", len(part), part),
		"chunks":                    fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(part), part),
		"the end of the connection": fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n%s", part),
	}
	var requester, relaying *relayVM
	var near, far *truncatingUpstream
	BeforeEach(func() {
		requester, relaying = startVM("requester", "a"), startVM("relaying", "b")
		near, far = startTruncatingUpstream("near-0", "near", "a"), startTruncatingUpstream("far-0", "far", "b")
		for _, vm := range []*relayVM{requester, relaying} {
			vm.adopt(&fakeUpstream{instance: near.instance}, &fakeUpstream{instance: far.instance})
		}
		requester.connect("b", relaying.peer())
	})
	forward := func(service string) error {
		rt := &route.Route{Name: "f", Idempotent: true, Attempts: 1, Timeout: time.Second, Objective: time.Second, Service: service}
		_, err := requester.router.Forward(context.Background(), rt, testRequest(rt, "1", "/x"))
		return err
	}
	ways := map[string]func() error{
		"a forwarded request": func() error { return forward("near") },
		"a forwarded request that another VM executes": func() error {
			link := requester.router.peers.Pick("b", 0, nil, time.Now())
			_, _, err := link.Forward(context.Background(), relay.ForwardArgs{
				Attempt: relay.Attempt{Instance: "far-0"}, Request: "1", Method: "GET", Target: "/x", Remaining: time.Second, Expected: time.Second,
			})
			return err
		},
		"a search": func() error {
			_, err := requester.search(searchRoute("near"))
			return err
		},
		"a search through a relay": func() error {
			_, err := requester.search(searchRoute("far"))
			return err
		},
	}

	for way, send := range ways {
		for framing, response := range framings {
			It(fmt.Sprintf("makes %s fail, framed by %s", way, framing), func() {
				near.response.Store(&response)
				far.response.Store(&response)
				for cut := range int64(strings.Index(response, "\r\n\r\n") + len("\r\n\r\n")) {
					near.cut.Store(cut)
					far.cut.Store(cut)
					Expect(send()).NotTo(Succeed(), "cut after %d bytes", cut)
				}
				near.cut.Store(int64(len(response)))
				far.cut.Store(int64(len(response)))
				Expect(send()).To(Succeed())
			})
		}
	}
})
