package settings_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings")
}

const valid = `id = "entry-1"
failure_domain = "halle-a"
caller_address = "127.0.0.1:8001"
rpc_address = "127.0.0.1:8101"
control_addresses = ["127.0.0.1:7001"]
`

func load(content string) (settings.Entry, error) {
	path := filepath.Join(GinkgoT().TempDir(), "entry.toml")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return settings.LoadEntry(path)
}

func problems(err error) []settings.Problem {
	Expect(fault.Is(err, fault.Settings)).To(BeTrue(), "%v", err)
	var invalid *settings.ValidationError
	Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
	return invalid.Problems
}

var _ = Describe("LoadOperator", func() {
	operator := func(content string) (settings.OperatorConfig, error) {
		path := filepath.Join(GinkgoT().TempDir(), "inventory.toml")
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return settings.LoadOperatorConfig(path)
	}

	It("keeps the protection of coverage in a rule that only sets an objective", func() {
		loaded, err := operator("[[rule]]\nservice = \"clerk-*\"\nlatency_objective_ms = 200\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Rules).To(HaveLen(1))
		Expect(loaded.Rules[0].NeverLoseCoverage).To(BeTrue())
		Expect(loaded.Rules[0].MaxShrink).To(Equal(0.5))
		Expect(loaded.Rules[0].LatencyObjectiveMillis).To(Equal(200))
	})

	It("reads back what wmuxctl config show writes, rules included", func() {
		first, err := operator("[[service]]\nname = \"clerk-01\"\nkind = \"search\"\n[[rule]]\nservice = \"clerk-*\"\nmax_shrink = 0.25\n")
		Expect(err).NotTo(HaveOccurred())
		var shown bytes.Buffer
		Expect(toml.NewEncoder(&shown).Encode(first)).To(Succeed())
		second, err := operator(shown.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
		Expect(second.Rules).To(HaveLen(1))
	})

	It("refuses an unknown key of a rule instead of ignoring it", func() {
		_, err := operator("[[rule]]\nservice = \"*\"\nmax_shrnk = 0.1\n")
		Expect(problems(err)).To(ConsistOf(And(HaveField("Key", "rule.max_shrnk"), HaveField("Line", 3))))
	})
})

var _ = Describe("LoadEntry", func() {
	It("fills defaults", func() {
		loaded, err := load(valid)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Ownership).To(Equal("owner"))
		Expect(loaded.DrainMillis).To(Equal(30_000))
	})

	It("reports every problem at once with line, key, value and accepted range", func() {
		_, err := load(valid + "drain_ms = 5\nbalance = \"fastest\"\nlame_dukc_ms = 3\n")
		found := problems(err)
		Expect(found).To(HaveLen(3))
		Expect(found).To(ContainElement(And(
			HaveField("Line", 6), HaveField("Key", "drain_ms"), HaveField("Value", "5"),
			HaveField("Accepted", "at least 100, at most 600000"))))
		Expect(found).To(ContainElement(And(HaveField("Line", 7), HaveField("Value", `"fastest"`),
			HaveField("Accepted", "one of observed, random, least-outstanding"))))
		Expect(found).To(ContainElement(And(HaveField("Line", 8), HaveField("Key", "lame_dukc_ms"))))
	})

	It("refuses a host name, which a process cannot be reached by", func() {
		_, err := load(valid[:len(valid)-len("control_addresses = [\"127.0.0.1:7001\"]\n")] + "control_addresses = [\"control-1:7001\"]\n")
		Expect(problems(err)).To(ConsistOf(And(HaveField("Line", 5), HaveField("Key", "control_addresses[0]"))))
	})

	It("names the line of a syntax error", func() {
		_, err := load("id = \"entry-1\"\nfailure_domain = \n")
		Expect(err).To(MatchError(ContainSubstring("entry.toml:2:")))
	})
})

var _ = Describe("a table of routes", func() {
	It("is read from the example and written in the same form", func() {
		table, err := settings.LoadRoutes("../../examples/routes.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Routes).To(HaveLen(3))
		Expect(table.Routes[0].Objective).To(Equal(150 * time.Millisecond))
		path := filepath.Join(GinkgoT().TempDir(), "routes.toml")
		file, err := os.Create(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(toml.NewEncoder(file).Encode(settings.RoutesFromTable(table))).To(Succeed())
		Expect(file.Close()).To(Succeed())
		Expect(settings.LoadRoutes(path)).To(Equal(table))
	})

	DescribeTable("names what is wrong with it", func(from, to, wanted string) {
		data, err := os.ReadFile("../../examples/routes.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(from))
		path := filepath.Join(GinkgoT().TempDir(), "routes.toml")
		Expect(os.WriteFile(path, []byte(strings.Replace(string(data), from, to, 1)), 0o600)).To(Succeed())
		_, err = settings.LoadRoutes(path)
		Expect(err).To(MatchError(ContainSubstring(wanted)))
	},
		Entry("an unknown key", "rank = 1", "priority = 1", "priority"),
		Entry("a value out of range", "coverage = 0.9", "coverage = 1.9", "at most 1"),
		Entry("another type", "timeout_ms = 2500", `timeout_ms = "2500"`, "timeout_ms"),
		Entry("an unknown service", `service = "pickup"`, `service = "pick"`, `"pick" is unknown`),
	)
})
