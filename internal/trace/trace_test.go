package trace_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/booking"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
	"github.com/wisteriamux/wisteriamux/internal/trace"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Trace")
}

type file struct{ bytes.Buffer }

func (*file) Close() error { return nil }

// record writes a booking and a suspect. The mutated trace states another outcome for the last event.
func record(maxBytes int64, mutated bool) []byte {
	out := &file{}
	recorder, err := trace.NewRecorder(out, "entry-1", maxBytes)
	Expect(err).NotTo(HaveOccurred())
	flow, table, suspects := booking.NewFlow(), booking.NewTable(booking.DefaultLimits()), suspect.NewTable()
	for _, event := range []booking.FlowEvent{
		{Kind: booking.FlowStart, Roll: 3, Candidates: []booking.Candidate{{Upstream: "u", OwnerID: "o", OwnerInstance: 2}}},
		{Kind: booking.FlowIntent, Granted: true, Record: &booking.Record{Attempt: 1, State: controlstate.BookingOpen, Upstream: "u"}},
		{Kind: booking.FlowOutcome, Outcome: booking.OutcomeDone, Response: []byte("secret body"), ResponseDigest: "d"},
	} {
		recorder.Record(trace.MachineBookingFlow, 7, event, flow.Step(event))
	}
	received := booking.TableEvent{Kind: booking.TableReceive, Key: "k", Attempt: 1}
	recorder.Record(trace.MachineBookingTable, 0, received, table.Step(received))
	recorder.Record("search.query", 1, "an event of a later version", "its outcome")
	before := suspect.Event{Kind: suspect.BeforeSend, Ticket: 1, Upstream: "u", Fingerprint: "f"}
	outcome := suspects.Step(before)
	if mutated {
		outcome.Verdict = suspect.Refuse
	}
	recorder.Record(trace.MachineSuspectTable, 0, before, outcome)
	Expect(recorder.Close()).To(Succeed())
	return out.Bytes()
}

var _ = Describe("a trace", func() {
	It("replays to the same outcomes and skips machines of later versions", func() {
		report, err := trace.Replay(bytes.NewReader(record(1<<20, false)), trace.NewMachines())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Difference).To(BeNil())
		Expect(report.Records).To(Equal(6))
		Expect(report.Skipped).To(Equal(1))
		Expect(report.Header.Process).To(Equal("entry-1"))
	})

	It("reports the first outcome that differs", func() {
		report, err := trace.Replay(bytes.NewReader(record(1<<20, true)), trace.NewMachines())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Difference).NotTo(BeNil())
		Expect(report.Difference.Index).To(Equal(5))
		Expect(report.Difference.String()).To(And(ContainSubstring("refuse"), ContainSubstring("send")))
	})

	It("holds no body of a request or a response", func() {
		Expect(string(record(1<<20, false))).NotTo(ContainSubstring("secret body"))
	})

	It("replays the prefix of a file that a kill cut off", func() {
		whole := record(1<<20, false)
		report, err := trace.Replay(bytes.NewReader(whole[:len(whole)-3]), trace.NewMachines())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Truncated).To(BeTrue())
		Expect(report.Records).To(Equal(5))
	})

	It("stops at its size and keeps a prefix that replays", func() {
		data := record(400, false)
		Expect(len(data)).To(BeNumerically("<=", 400))
		report, err := trace.Replay(bytes.NewReader(data), trace.NewMachines())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Records).To(BeNumerically(">", 0))
	})

	It("refuses files of another kind and of another version", func() {
		_, err := trace.Replay(bytes.NewReader([]byte("text")), trace.NewMachines())
		Expect(err).To(MatchError(ContainSubstring("not a trace file")))
		later, err := cbor.Marshal(trace.Header{Magic: "wmux-trace", Version: trace.Version + 1})
		Expect(err).NotTo(HaveOccurred())
		_, err = trace.Replay(bytes.NewReader(later), trace.NewMachines())
		Expect(err).To(MatchError(ContainSubstring("format version")))
	})
})
