package security_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/security"
)

func TestSecurity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Security")
}

func dialPlain(address string) (net.Conn, error) { return net.Dial("tcp", address) }

var _ = Describe("CertStore", func() {
	var dir string
	clock := time.Now()
	now := func() time.Time { return clock }

	issueAndOpen := func(directory string, role security.Role, name string) (*security.CertStore, security.Files) {
		files, err := security.Issue(directory, security.Identity{Role: role, Name: name}, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		store, err := security.OpenCertStore(files, now)
		Expect(err).NotTo(HaveOccurred())
		return store, files
	}
	// listen serves TLS connections and returns the address. It writes "ok" after a successful handshake.
	listen := func(store *security.CertStore, allowed ...security.Role) string {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := store.Listener(inner, allowed...)
		DeferCleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					if conn.(*tls.Conn).Handshake() == nil {
						_, _ = conn.Write([]byte("ok"))
					}
					_ = conn.Close()
				}()
			}
		}()
		return inner.Addr().String()
	}
	dialAndRead := func(dial func(string) (net.Conn, error), address string) error {
		conn, err := dial(address)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		_, err = conn.Read(make([]byte, 2))
		return err
	}

	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		Expect(security.CreateAuthority(dir, time.Hour)).To(Succeed())
	})

	It("accepts peers whose roles are allowed", func() {
		control, _ := issueAndOpen(dir, security.RoleControl, "control-1")
		entry, _ := issueAndOpen(dir, security.RoleEntry, "entry-1")
		address := listen(control, security.RoleEntry)
		Expect(dialAndRead(entry.Dialer(dialPlain, security.RoleControl), address)).To(Succeed())
	})

	It("rejects a client and a server whose role is not allowed", func() {
		control, _ := issueAndOpen(dir, security.RoleControl, "control-1")
		operator, _ := issueAndOpen(dir, security.RoleOperator, "anna")
		address := listen(control, security.RoleEntry)
		Expect(dialAndRead(operator.Dialer(dialPlain, security.RoleControl), address)).NotTo(Succeed())
		Expect(dialAndRead(operator.Dialer(dialPlain, security.RoleEntry), address)).To(MatchError(ContainSubstring("roles")))
	})

	It("rejects a peer whose certificate another authority signed", func() {
		other := GinkgoT().TempDir()
		Expect(security.CreateAuthority(other, time.Hour)).To(Succeed())
		control, _ := issueAndOpen(dir, security.RoleControl, "control-1")
		outsider, _ := issueAndOpen(other, security.RoleEntry, "entry-1")
		address := listen(control, security.RoleEntry)
		Expect(dialAndRead(outsider.Dialer(dialPlain, security.RoleControl), address)).NotTo(Succeed())
	})

	It("uses replaced files without a restart and keeps the old ones while the new ones cannot be loaded", func() {
		control, files := issueAndOpen(dir, security.RoleControl, "control-1")
		entry, _ := issueAndOpen(dir, security.RoleEntry, "entry-1")
		address := listen(control, security.RoleEntry)
		dial := entry.Dialer(dialPlain, security.RoleControl)

		Expect(os.WriteFile(files.Certificate, []byte("half"), 0o600)).To(Succeed())
		Expect(os.Chtimes(files.Certificate, clock, clock.Add(time.Minute))).To(Succeed())
		clock = clock.Add(2 * time.Second)
		Expect(dialAndRead(dial, address)).To(Succeed())
		Expect(control.ReloadError()).To(HaveOccurred())

		_, err := security.Issue(dir, security.Identity{Role: security.RoleOperator, Name: "control-1"}, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		clock = clock.Add(2 * time.Second)
		Expect(dialAndRead(dial, address)).To(MatchError(ContainSubstring("roles")))
		Expect(control.ReloadError()).NotTo(HaveOccurred())
	})
})
