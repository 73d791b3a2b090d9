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

const validEntry = `id = "entry-1"
failure_domain = "halle-a"
caller_address = "127.0.0.1:8001"
rpc_address = "127.0.0.1:8101"
control_addresses = ["127.0.0.1:7001"]
`

func loadEntry(content string) (settings.Entry, error) {
	path := filepath.Join(GinkgoT().TempDir(), "entry.toml")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return settings.LoadEntry(path)
}

func problemsOf(err error) []settings.Problem {
	Expect(fault.Is(err, fault.Settings)).To(BeTrue(), "%v", err)
	var invalid *settings.ValidationError
	Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
	return invalid.Problems
}

var _ = Describe("LoadOperator", func() {
	loadOperatorConfig := func(content string) (settings.OperatorConfig, error) {
		path := filepath.Join(GinkgoT().TempDir(), "inventory.toml")
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return settings.LoadOperatorConfig(path)
	}

	It("keeps the default coverage protection in a rule that sets only an objective", func() {
		loaded, err := loadOperatorConfig("[[rule]]\nservice = \"clerk-*\"\nlatency_objective_ms = 200\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Rules).To(HaveLen(1))
		Expect(loaded.Rules[0].NeverLoseCoverage).To(BeTrue())
		Expect(loaded.Rules[0].MaxShrink).To(Equal(0.5))
		Expect(loaded.Rules[0].LatencyObjectiveMillis).To(Equal(200))
	})

	It("reads the output of wmuxctl config show, including the rules", func() {
		first, err := loadOperatorConfig("[[service]]\nname = \"clerk-01\"\nkind = \"search\"\n[[rule]]\nservice = \"clerk-*\"\nmax_shrink = 0.25\n")
		Expect(err).NotTo(HaveOccurred())
		var output bytes.Buffer
		Expect(toml.NewEncoder(&output).Encode(first)).To(Succeed())
		second, err := loadOperatorConfig(output.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
		Expect(second.Rules).To(HaveLen(1))
	})

	It("rejects an unknown key in a rule", func() {
		_, err := loadOperatorConfig("[[rule]]\nservice = \"*\"\nmax_shrnk = 0.1\n")
		Expect(problemsOf(err)).To(ConsistOf(And(HaveField("Key", "rule.max_shrnk"), HaveField("Line", 3))))
	})
})

var _ = Describe("LoadEntry", func() {
	It("sets defaults", func() {
		loaded, err := loadEntry(validEntry)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Ownership).To(Equal("owner"))
		Expect(loaded.DrainMillis).To(Equal(30_000))
	})

	It("reports every problem at once with its line, key, value and accepted values", func() {
		_, err := loadEntry(validEntry + "drain_ms = 5\nbalance = \"fastest\"\nlame_dukc_ms = 3\n")
		found := problemsOf(err)
		Expect(found).To(HaveLen(3))
		Expect(found).To(ContainElement(And(
			HaveField("Line", 6), HaveField("Key", "drain_ms"), HaveField("Value", "5"),
			HaveField("Accepted", "at least 100, at most 600000"))))
		Expect(found).To(ContainElement(And(HaveField("Line", 7), HaveField("Value", `"fastest"`),
			HaveField("Accepted", "one of observed, random, least-outstanding"))))
		Expect(found).To(ContainElement(And(HaveField("Line", 8), HaveField("Key", "lame_dukc_ms"))))
	})

	It("rejects a host name, because processes are addressed by IP address only", func() {
		_, err := loadEntry(validEntry[:len(validEntry)-len("control_addresses = [\"127.0.0.1:7001\"]\n")] + "control_addresses = [\"control-1:7001\"]\n")
		Expect(problemsOf(err)).To(ConsistOf(And(HaveField("Line", 5), HaveField("Key", "control_addresses[0]"))))
	})

	It("reports the line of a syntax error", func() {
		_, err := loadEntry("id = \"entry-1\"\nfailure_domain = \n")
		Expect(err).To(MatchError(ContainSubstring("entry.toml:2:")))
	})
})

var _ = Describe("LoadRouter", func() {
	const required = "id = \"r\"\nfailure_domain = \"d\"\ncaller_address = \"127.0.0.1:1\"\nhealth_address = \"127.0.0.1:2\"\n" +
		"seeds = [\"127.0.0.1:3\"]\ncontrol_port = 3\n"
	loadRouter := func(content string) (settings.Router, error) {
		path := filepath.Join(GinkgoT().TempDir(), "router.toml")
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return settings.LoadRouter(path)
	}

	It("refuses a fraction under overload unless the settings ask for another admission", func() {
		loaded, err := loadRouter(required)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Admission).To(Equal("fraction"))
		loaded, err = loadRouter(required + "admission = \"ranked\"\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Admission).To(Equal("ranked"))
		_, err = loadRouter(required + "admission = \"none\"\n")
		Expect(err).To(MatchError(ContainSubstring("one of fraction, ranked")))
	})
})

var _ = Describe("LoadRoutes", func() {
	It("reads the example table and what RoutesFromTable encodes", func() {
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

	DescribeTable("reports what is wrong with a table", func(from, to, wanted string) {
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
		Entry("a value of the wrong type", "timeout_ms = 2500", `timeout_ms = "2500"`, "timeout_ms"),
		Entry("an undefined service", `service = "pickup"`, `service = "pick"`, `"pick" is unknown`),
	)
})

var _ = Describe("LoadRouter", func() {
	const valid = `id = "r"
failure_domain = "a"
caller_address = "127.0.0.1:8001"
health_address = "127.0.0.1:8002"
seeds = ["127.0.0.1:7001"]
control_port = 7000
`
	loadRouter := func(content string) (settings.Router, error) {
		path := filepath.Join(GinkgoT().TempDir(), "router.toml")
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return settings.LoadRouter(path)
	}

	It("has the users' bounds for quotas and cold upstreams as defaults", func() {
		loaded, err := loadRouter(valid)
		Expect(err).NotTo(HaveOccurred())
		Expect([]float64{loaded.QuotaWindowSeconds, loaded.QuotaOverage, loaded.QuotaSlack, loaded.ColdOverage, loaded.ColdSlack}).
			To(Equal([]float64{5, 0.1, 20, 1.5, 5}))
	})

	It("rejects bounds that cannot be kept, and names all of them", func() {
		_, err := loadRouter(valid + "quota_window_s = 0\nquota_overage = -0.1\nquota_slack = -1\ncold_overage = 0.9\ncold_slack = -1\n")
		Expect(problemsOf(err)).To(HaveLen(5))
	})
})
