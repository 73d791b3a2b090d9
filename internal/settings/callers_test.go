package settings_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the limits on callers", func() {
	It("are derived from the smallest VM if the settings name none", func() {
		loaded, err := loadEntry(validEntry)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.CallerBytes()).To(BeNumerically("~", 184<<20/6, 1))
		Expect(loaded.CallerConnectionBytes()).To(Equal(loaded.CallerBytes() / 2))
		Expect(loaded.AllowedConnections()).To(BeNumerically("<=", 2048))
		Expect(loaded.BodyTimeout()).To(Equal(30 * time.Second))
		Expect(loaded.RuntimeBytes()).To(BeNumerically("<", 184<<20))
	})

	It("are derived from the memory and the descriptors of the VM, which may be fractions of a MB", func() {
		loaded, err := loadEntry(validEntry + "memory_mb = 600.0\nmax_fds = 100\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.CallerBytes()).To(BeNumerically("~", 100<<20, 1))
		Expect(loaded.AllowedConnections()).To(Equal(50))
	})

	It("may be set, but leave half of the descriptors to other connections", func() {
		loaded, err := loadEntry(validEntry + "max_fds = 100\ncaller_memory_kb = 2048\ncaller_connection_kb = 512\ncaller_connections = 80\ncaller_body_ms = 200\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.CallerBytes()).To(BeEquivalentTo(2 << 20))
		Expect(loaded.CallerConnectionBytes()).To(BeEquivalentTo(512 << 10))
		Expect(loaded.AllowedConnections()).To(Equal(50))
		Expect(loaded.BodyTimeout()).To(Equal(200 * time.Millisecond))
	})

	It("name the line and the key of a value that is not accepted", func() {
		_, err := loadEntry(validEntry + "memory_mb = 1\n")
		problems := problemsOf(err)
		Expect(problems).To(HaveLen(1))
		Expect(problems[0].Key).To(Equal("memory_mb"))
		Expect(problems[0].Line).To(Equal(6))
	})
})
