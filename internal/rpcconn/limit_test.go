package rpcconn_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

// announcing returns the length of a gob message.
func announcing(length uint64) []byte {
	return append([]byte{0xf8}, binary.BigEndian.AppendUint64(nil, length)...)
}

// serveBytes accepts connections, sends the prefix and then bytes without end. It counts what it has sent.
func serveBytes(prefix []byte) (address string, sent *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	sent = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				n, err := conn.Write(prefix)
				for chunk := make([]byte, 64<<10); err == nil; n, err = conn.Write(chunk) {
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return listener.Addr().String(), sent
}

var _ = Describe("a message to a process", func() {
	// Guards against a process that keeps up to 1 GiB of one message in memory, when its peer is faulty or when the address of a
	// VM that is gone now belongs to a faulty server.
	DescribeTable("that announces more than the limit ends the connection before it takes memory", func(prefix []byte) {
		address, sent := serveBytes(prefix)
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		client := rpcconn.NewClient(conn)
		defer func() { _ = client.Close() }()
		call := client.Go("Service.Method", 1, new(int), make(chan *rpc.Call, 1))
		Eventually(call.Done, 5*time.Second).Should(Receive())
		Expect(call.Error).To(HaveOccurred())
		// The buffers of both sockets hold some megabytes beyond what was read.
		Expect(sent.Load()).To(BeNumerically("<", rpcconn.MaxMessageBytes))
	},
		Entry("900 MB, which encoding/gob accepts", announcing(900<<20)),
		Entry("one byte more than the limit", announcing(rpcconn.MaxMessageBytes+1)),
		Entry("more than a length can hold", []byte{0x81, 1, 2, 3}),
	)

	It("passes up to the limit, however its bytes and those of other messages are divided", func() {
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		random := rand.New(rand.NewPCG(1, 2))
		var want [][]byte
		for range 40 {
			message := make([]byte, random.IntN(3000))
			want = append(want, message)
			Expect(encoder.Encode(message)).To(Succeed())
		}
		for _, source := range []readOnlyConn{{reader: iotest.OneByteReader(bytes.NewReader(stream.Bytes()))}, {reader: bytes.NewReader(stream.Bytes())}} {
			decoder := gob.NewDecoder(rpcconn.WithMessageLimit(source))
			for _, message := range want {
				var got []byte
				Expect(decoder.Decode(&got)).To(Succeed())
				Expect(got).To(HaveLen(len(message)))
			}
		}
	})

	It("of exactly the limit passes", func() {
		large := append(announcing(rpcconn.MaxMessageBytes), make([]byte, rpcconn.MaxMessageBytes)...)
		conn := rpcconn.WithMessageLimit(readOnlyConn{reader: bytes.NewReader(append(large, 1, 0))})
		total := 0
		for buffer := make([]byte, 1<<20); total < len(large)+2; {
			n, err := conn.Read(buffer)
			Expect(err).NotTo(HaveOccurred())
			total += n
		}
	})
})

// readOnlyConn is a connection of which only Read is used.
type readOnlyConn struct {
	net.Conn
	reader interface{ Read(p []byte) (int, error) }
}

func (r readOnlyConn) Read(p []byte) (int, error) { return r.reader.Read(p) }
