package callers_test

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// loweredMemoryMB and loweredDescriptors are a quarter of those of the smallest VM.
	loweredMemoryMB    = 46
	loweredDescriptors = 1024
	// pipelined is the number of requests that one caller sends without reading a response.
	pipelined = 400
)

// loweredLimits are the settings of a process on a VM with a quarter of the memory and descriptors.
func loweredLimits() string {
	return fmt.Sprintf("memory_mb = %d\nmax_fds = %d\n", loweredMemoryMB, loweredDescriptors)
}

// sendMixed sends all kinds of crowds at once, each with a twelfth of its size.
func sendMixed(t *target) (closeAll func()) {
	const share = 12
	var mu sync.Mutex
	var closers []func()
	var crowds sync.WaitGroup
	for _, c := range kinds {
		size := c.size
		if size == 0 {
			size = c.bodies(t)
		}
		crowds.Add(1)
		go func() {
			defer GinkgoRecover()
			defer crowds.Done()
			closeCrowd := c.send(t, (size+share-1)/share)
			mu.Lock()
			defer mu.Unlock()
			closers = append(closers, closeCrowd)
		}()
	}
	crowds.Wait()
	return func() {
		for _, closeCrowd := range closers {
			closeCrowd()
		}
	}
}

// unread are requests without a body in a row on each connection, whose responses are not read.
var unread = crowd{name: "requests in a row whose responses are not read", size: 60, payload: func(t *target) []byte {
	path := map[string]string{"/config/replace": "/config/read", "/v1/search": "/healthz", "/orders/1": "/slips/1"}[t.path]
	return bytes.Repeat(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nWisteriamux-Request-Id: unread\r\n\r\n", path, t.host), pipelined)
}}

// announced are requests that ask whether to send their body, and never send it.
var announced = crowd{name: "bodies that are announced and never sent", size: 150, payload: func(t *target) []byte {
	return fmt.Appendf(nil, "%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", requestLine(t), t.maxBody)
}}

// extended are chunks with long extensions, and trailers without end.
var extended = crowd{name: "chunk extensions and trailers without end", size: 100, payload: func(t *target) []byte {
	out := fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n1;%s\r\nx\r\n0\r\n", requestLine(t), bytes.Repeat([]byte("e"), 2000))
	return append(out, bytes.Repeat([]byte("Trailer: x\r\n"), 40<<10)...)
}}

// followed are bodies of legal size with the beginning of a second request behind them.
var followed = crowd{name: "large bodies with the head of a second request behind them", complete: true, upstreamDelay: time.Second, size: 60, payload: func(t *target) []byte {
	return append(byLength(t, document(t, t.maxBody), t.maxBody), uniqueLines(requestLine(t), maxHeaderBytes/2, "%x:\r\n")...)
}}

// Guards against limits that fit only the memory of the VM for which they were made.
var _ = Describe("a process with a quarter of the memory that untrusted callers reach", func() {
	for _, reached := range targets {
		It(reached.program+" stays within that memory and answers beside all kinds of crowds at once", func() {
			t := reached.start(0, loweredLimits())
			closeAll := sendMixed(t)
			defer closeAll()
			t.expectUnharmed(loweredMemoryMB << 20)
		})
	}
})

// Guards against callers that hold memory beside the header and the body of a request.
var _ = Describe("a process beside callers that do not follow the order of requests and responses", func() {
	for _, reached := range targets {
		for _, c := range []crowd{unread, announced, extended, followed} {
			It(fmt.Sprintf("%s stays within the memory of its VM and answers beside %s", reached.program, c.name), func() {
				t := reached.start(0)
				size := c.size
				if c.complete && t.path == "/config/replace" {
					size = c.bodies(t)
				}
				closeAll := c.send(t, size)
				defer closeAll()
				t.expectUnharmed(vmMemoryBytes)
			})
		}
	}
})

// messages are what callers may send to ports that carry messages between processes.
var messages = []crowd{
	{name: "messages that announce 1 GiB", size: 250, payload: func(*target) []byte {
		return append([]byte{0xfc, 0x40, 0, 0, 0}, bytes.Repeat([]byte{1}, 256<<10)...)
	}},
	{name: "large messages of legal size that stop short of their end", size: 120, payload: func(*target) []byte {
		const announced = 4 << 20
		return append([]byte{0xfd, announced >> 16, 0, 0}, make([]byte, announced/2)...)
	}},
	{name: "messages that stop within their length", size: 400, payload: func(*target) []byte { return []byte{0xf8} }},
}

// Guards against ports beside that of the callers through which a process can be ended.
var _ = Describe("the other ports of a process", func() {
	// Of the kinds, the first six have no body, which these ports do not read.
	heads := kinds[:6]
	for _, p := range []struct {
		name   string
		start  func(descriptors int, more ...string) *target
		at     string
		crowds []crowd
	}{
		{"health checks of wmux-router", startRouter, address(2, readyPort), heads},
		{"metrics of wmux-router", startRouter, address(2, metricsPort), heads},
		{"relayed attempts of wmux-router", startRouter, address(2, relayPort), messages},
		{"calls of wmux-entry", startEntry, address(2, rpcPort), messages},
		{"calls of wmux-control", startControl, address(1, rpcPort), messages},
	} {
		for _, c := range p.crowds {
			It(fmt.Sprintf("%s: the process stays within the memory of its VM and answers beside %s", p.name, c.name), func() {
				t := p.start(0)
				there := *t
				there.address = p.at
				closeAll := c.send(&there, min(c.size, 250))
				defer closeAll()
				t.expectUnharmed(vmMemoryBytes)
			})
		}
	}
})

// expectUnharmed expects that the process lives within the memory and answers an ordinary request. It returns the number of descriptors
// that the process had open while the crowd stayed.
func (t *target) expectUnharmed(memory int64) (descriptors int) {
	GinkgoHelper()
	Expect(t.alive()).To(BeTrue())
	descriptors = t.descriptors()
	if t.upstream != nil {
		t.upstream.Delay.Store(0)
	}
	Eventually(t.ordinary, answerTimeout, pollInterval).Should(BeTrue(), "an ordinary request must be answered while the crowd stays")
	AddReportEntry(fmt.Sprintf("seen: peak resident memory %d MiB, %d open descriptors", t.peakMemory()>>20, descriptors))
	Expect(t.alive()).To(BeTrue())
	Expect(t.peakMemory()).To(BeNumerically("<", memory))
	return descriptors
}
