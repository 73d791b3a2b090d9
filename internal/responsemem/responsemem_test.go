package responsemem_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
)

func TestResponsemem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Responsemem")
}

const bodyBytes = 300 << 10

func read(m *responsemem.Memory, hold *responsemem.Hold) error {
	body, err := m.ReadBody(strings.NewReader(strings.Repeat("x", bodyBytes)), bodyBytes, 1<<20, hold)
	if err == nil {
		Expect(body).To(HaveLen(bodyBytes))
	}
	return err
}

var _ = Describe("the memory of responses", func() {
	// Guards against complete responses that pile up while callers read slowly.
	It("keeps a complete response reserved until its hold is released, and refuses others meanwhile", func() {
		m := responsemem.New(1 << 20)
		first, second := &responsemem.Hold{}, &responsemem.Hold{}
		Expect(read(m, first)).To(Succeed())
		Expect(m.InUse()).To(BeNumerically(">=", bodyBytes-responsemem.FreeBytes))
		Expect(fault.CodeOf(read(m, second))).To(Equal(fault.ResponseTooLarge))
		first.Release()
		Expect(m.InUse()).To(BeZero())
		Expect(read(m, second)).To(Succeed())
		second.Release()
		second.Release()
		Expect(m.InUse()).To(BeZero())
	})

	// Guards against memory that is lost for good when an attempt ends after its request, as the loser of two does.
	It("is free at once after a response that comes later than the release, or that nobody holds", func() {
		m := responsemem.New(1 << 20)
		hold := &responsemem.Hold{}
		hold.Release()
		Expect(read(m, hold)).To(Succeed())
		Expect(read(m, nil)).To(Succeed())
		Expect(m.InUse()).To(BeZero())
	})

	It("is free after a response that breaks off or exceeds its limit", func() {
		m := responsemem.New(1 << 20)
		hold := &responsemem.Hold{}
		broken := errors.New("reset")
		_, err := m.ReadBody(iotest.TimeoutReader(bytes.NewReader(make([]byte, bodyBytes))), -1, 1<<20, hold)
		Expect(err).To(MatchError(iotest.ErrTimeout))
		_, err = m.ReadBody(iotest.ErrReader(broken), -1, 1<<20, hold)
		Expect(err).To(MatchError(broken))
		_, err = m.ReadBody(bytes.NewReader(make([]byte, bodyBytes)), -1, 100<<10, hold)
		Expect(fault.CodeOf(err)).To(Equal(fault.ResponseTooLarge))
		Expect(m.InUse()).To(BeZero())
		Expect(m.Exceeded()).To(BeEquivalentTo(1))
	})

	It("counts bodies that were read elsewhere, and none for small ones", func() {
		m := responsemem.New(400 << 10)
		hold := &responsemem.Hold{}
		Expect(m.Keep(hold, make([]byte, responsemem.FreeBytes))).To(Succeed())
		Expect(m.InUse()).To(BeZero())
		Expect(m.Keep(hold, make([]byte, bodyBytes))).To(Succeed())
		Expect(fault.CodeOf(m.Keep(hold, make([]byte, bodyBytes)))).To(Equal(fault.ResponseTooLarge))
		hold.Release()
		Expect(m.InUse()).To(BeZero())
	})
})
