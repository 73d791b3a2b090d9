package notice_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/notice"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

func TestNotice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Notice")
}

var _ = Describe("the pause that an upstream names", func() {
	DescribeTable("is a decimal number of seconds", func(text string, wanted time.Duration) {
		Expect(notice.ParsePause([]string{text})).To(Equal(wanted))
	},
		Entry("whole", "3", 3*time.Second),
		Entry("a fraction", "0.25", 250*time.Millisecond),
		Entry("none", "0", time.Duration(0)),
		Entry("of millennia, which does not overflow", "99999999999999999999", 100*365*24*time.Hour),
	)

	for _, values := range [][]string{
		{""}, {"-1"}, {"NaN"}, {"Inf"}, {"1e3"}, {"0x10"}, {"."}, {"1.2.3"}, {" 3"}, {"Sat, 05 Dec 2026 05:00:00 GMT"}, {"1", "2"},
		{"000000000000000000000000000000000000000001"},
	} {
		It(fmt.Sprintf("is a typed error if it is no such number: %q", values), func() {
			pause, err := notice.ParsePause(values)
			Expect(fault.CodeOf(err)).To(Equal(fault.BadRequest))
			Expect(pause).To(BeZero())
		})
	}
})

var _ = Describe("a notice", func() {
	begin := time.Unix(1000, 0)
	process := registry.Process{Instance: "u", Born: 1}
	var book *notice.Book
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	BeforeEach(func() { book = notice.NewBook() })

	It("of a process that leaves keeps new work away, but for a moment if there is no other process", func() {
		Expect(book.Leaving(begin, process, false)).To(BeFalse())
		Expect(book.Observe(begin, process, notice.Notice{Leaving: true}, 0)).To(Equal(notice.Change{Left: true}))
		Expect(book.Observe(at(1), process, notice.Notice{Leaving: true}, 0)).To(Equal(notice.Change{}))
		Expect(book.Leaving(at(500*time.Millisecond), process, false)).To(BeTrue())
		Expect(book.Leaving(at(500*time.Millisecond), process, true)).To(BeFalse())
		Expect(book.Leaving(at(time.Second), process, true)).To(BeTrue())
	})

	It("is not taken back by an older response that arrives late, nor by a newer one", func() {
		book.Observe(at(10), process, notice.Notice{Leaving: true, Pause: time.Minute}, 0)
		book.Observe(at(5), process, notice.Notice{}, 0)
		book.Observe(at(20), process, notice.Notice{}, 0)
		Expect(book.Leaving(at(20), process, false)).To(BeTrue())
		Expect(book.PausedUntil(process)).To(Equal(at(10 + time.Minute)))
	})

	It("of a pause lasts at least as long as was asked, and at most a little longer, different at each VM", func() {
		for _, draw := range []float64{0, 0.5, 0.999} {
			book = notice.NewBook()
			Expect(book.Observe(begin, process, notice.Notice{Pause: 2 * time.Second}, draw).Paused).To(BeTrue())
			Expect(book.PausedUntil(process)).To(BeTemporally(">=", at(2*time.Second)))
			Expect(book.PausedUntil(process)).To(BeTemporally("<=", at(2300*time.Millisecond)))
		}
	})

	It("of a shorter pause does not end a longer one", func() {
		book.Observe(begin, process, notice.Notice{Pause: time.Minute}, 0)
		book.Observe(at(time.Second), process, notice.Notice{Pause: time.Second}, 0)
		Expect(book.PausedUntil(process)).To(Equal(at(time.Minute)))
	})

	It("does not concern the process that the upstream starts as next, nor another one at its address", func() {
		book.Observe(begin, process, notice.Notice{Leaving: true, Pause: time.Minute}, 0)
		for _, other := range []registry.Process{{Instance: "u", Born: 2}, {Instance: "v", Born: 1}} {
			Expect(book.Leaving(begin, other, false)).To(BeFalse())
			Expect(book.PausedUntil(other)).To(BeZero())
		}
		book.Retain(func(p registry.Process) bool { return p != process })
		Expect(book.Empty()).To(BeTrue())
	})

	It("that cannot be read changes nothing and is counted", func() {
		Expect(book.Observe(begin, process, notice.Notice{Err: fault.New(fault.BadRequest, "test", "x")}, 0)).To(Equal(notice.Change{}))
		Expect(book.Unreadable()).To(Equal(int64(1)))
		Expect(book.Empty()).To(BeTrue())
	})
})
