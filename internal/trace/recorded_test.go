package trace_test

import (
	"compress/gzip"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/trace"
)

// The traces were recorded by the specs of test/processes with WMUX_TRACE_DIR set: an entry VM that is killed while it
// handles bookings, a graceful shutdown, and a request that crashes every upstream. Replaying them detects unintended
// changes of decisions.
var _ = Describe("traces of real processes", func() {
	It("replay to the recorded outcomes", func() {
		files, err := filepath.Glob("testdata/*.trace.gz")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, name := range files {
			file, err := os.Open(name)
			Expect(err).NotTo(HaveOccurred())
			unpacked, err := gzip.NewReader(file)
			Expect(err).NotTo(HaveOccurred())
			report, err := trace.Replay(unpacked, trace.NewMachines())
			Expect(err).NotTo(HaveOccurred(), name)
			Expect(report.Difference).To(BeNil(), "%s: %v", name, report.Difference)
			Expect(report.Skipped).To(BeZero(), name)
			Expect(report.Records).To(BeNumerically(">", 100), name)
			Expect(file.Close()).To(Succeed())
		}
	})
})
