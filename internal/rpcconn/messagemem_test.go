package rpcconn

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a process that ends because many peers send messages of legal size and stop before their end.
var _ = Describe("the incomplete messages of all connections", func() {
	const size, length = 1 << 20, 512 << 10
	var memory *messageMemory
	BeforeEach(func() { memory = newMessageMemory(size) })

	// peer returns the sender's end of a connection that is read until it ends.
	peer := func() net.Conn {
		sender, receiver := net.Pipe()
		DeferCleanup(sender.Close)
		go func() {
			limited := withMessageMemory(receiver, memory)
			_, _ = io.Copy(io.Discard, limited)
			_ = receiver.Close()
		}()
		return sender
	}
	// message is a gob message of the length.
	message := append([]byte{0xfd, length >> 16, 0, 0}, make([]byte, length)...)

	It("hold no more than their memory, and those that stand still are dropped, so that complete messages still arrive", func() {
		for range 20 {
			sender := peer()
			go func() { _, _ = sender.Write(message[:length]) }()
		}
		Consistently(memory.inUse, 300*time.Millisecond).Should(BeNumerically("<=", size))
		small := append([]byte{0xfe, freeMessageBytes >> 9, 0}, make([]byte, freeMessageBytes/2)...)
		ordinary := peer()
		Expect(ordinary.SetWriteDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := ordinary.Write(small)
		Expect(err).NotTo(HaveOccurred(), "small messages need no shared memory")
		Eventually(func() error {
			large := peer()
			defer func() { _ = large.Close() }()
			_ = large.SetWriteDeadline(time.Now().Add(roomTimeout))
			_, err := large.Write(message)
			return err
		}, 4*roomTimeout, roomPoll).Should(Succeed())
		Expect(memory.inUse()).To(BeNumerically("<=", size))
	})

	It("hold nothing after their end or that of their connection", func() {
		complete, broken := peer(), peer()
		_, err := complete.Write(message)
		Expect(err).NotTo(HaveOccurred())
		_, err = broken.Write(message[:length])
		Expect(err).NotTo(HaveOccurred())
		Eventually(memory.inUse).Should(BeNumerically(">", 0))
		Expect(broken.Close()).To(Succeed())
		Eventually(memory.inUse).Should(BeZero())
	})

	It("hold nothing after this side has closed their connection, as net/rpc does with a message that it cannot decode", func() {
		sender, receiver := net.Pipe()
		DeferCleanup(sender.Close)
		limited := withMessageMemory(receiver, memory)
		go func() { _, _ = sender.Write(message) }()
		_, err := io.ReadFull(limited, make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		Expect(memory.inUse()).To(BeNumerically(">", 0))
		Expect(limited.Close()).To(Succeed())
		Expect(memory.inUse()).To(BeZero())
	})
})
