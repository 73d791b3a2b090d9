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

type memoryFile struct{ bytes.Buffer }

func (*memoryFile) Close() error { return nil }

// record returns the trace of a booking, an event of an unknown machine and a request sent to an upstream. If mutated
// is set, the recorded outcome of the last event is wrong.
func record(maxBytes int64, mutated bool) []byte {
	out := &memoryFile{}
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
	receive := booking.TableEvent{Kind: booking.TableReceive, Key: "k", Attempt: 1}
	recorder.Record(trace.MachineBookingTable, 0, receive, table.Step(receive))
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
	It("replays to the same outcomes and skips records of unknown machines", func() {
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

	It("contains no request or response bodies", func() {
		Expect(string(record(1<<20, false))).NotTo(ContainSubstring("secret body"))
	})

	It("replays the complete records of a truncated file", func() {
		complete := record(1<<20, false)
		report, err := trace.Replay(bytes.NewReader(complete[:len(complete)-3]), trace.NewMachines())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Truncated).To(BeTrue())
		Expect(report.Records).To(Equal(5))
	})

	It("stops at its maximum size with a prefix that can be replayed", func() {
		data := record(400, false)
		Expect(len(data)).To(BeNumerically("<=", 400))
		report, err := trace.Replay(bytes.NewReader(data), trace.NewMachines())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Records).To(BeNumerically(">", 0))
	})

	It("rejects files of another format and of another format version", func() {
		_, err := trace.Replay(bytes.NewReader([]byte("text")), trace.NewMachines())
		Expect(err).To(MatchError(ContainSubstring("not a trace file")))
		newerHeader, err := cbor.Marshal(trace.Header{Magic: "wmux-trace", Version: trace.Version + 1})
		Expect(err).NotTo(HaveOccurred())
		_, err = trace.Replay(bytes.NewReader(newerHeader), trace.NewMachines())
		Expect(err).To(MatchError(ContainSubstring("format version")))
	})
})
