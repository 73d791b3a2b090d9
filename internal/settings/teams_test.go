package settings_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

const secretKey = "secret-7f3a"

const teamFile = `version = 3
[[service]]
name = "s"
cold_start_ms = 1500
cold_per_second = 2.5
[[route]]
name = "open"
host = "h"
path_prefix = "/"
timeout_ms = 100
service = "s"
public = true
[[team]]
name = "a"
keys = ["` + secretKey + `", "k2"]
rank = 0
per_second = 2.5
burst = 4
[[team]]
name = "b"
`

func loadRoutes(content string) (route.Table, error) {
	path := filepath.Join(GinkgoT().TempDir(), "routes.toml")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return settings.LoadRoutes(path)
}

var _ = Describe("a file with teams", func() {
	It("is read into digests, and exported without keys so that it can be applied again", func() {
		table, err := loadRoutes(teamFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Routes[0].Public).To(BeTrue())
		Expect(table.Teams).To(Equal([]route.Team{
			{Name: "a", Keys: []route.KeyDigest{route.DigestKey(secretKey), route.DigestKey("k2")}, Ranked: true, PerSecond: 2.5, Burst: 4},
			{Name: "b"},
		}))
		var exported bytes.Buffer
		Expect(toml.NewEncoder(&exported).Encode(settings.RoutesFromTable(table))).To(Succeed())
		Expect(exported.String()).NotTo(ContainSubstring(secretKey))
		again, err := loadRoutes(exported.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(table))
		asJSON, err := json.Marshal(settings.RoutesFromTable(table))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(asJSON)).NotTo(ContainSubstring(secretKey))
	})

	DescribeTable("is rejected without quoting a key", func(content string) {
		_, err := loadRoutes(content)
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring(secretKey))
		Expect(err.Error()).NotTo(ContainSubstring("7f3a"))
	},
		Entry("a key without quotes", "version = 1\n[[team]]\nname = \"a\"\nkeys = ["+secretKey+"]\n"),
		Entry("a key without its closing quote", "version = 1\n[[team]]\nname = \"a\"\nkeys = [\""+secretKey+"\n"),
		Entry("text after a key", "version = 1\n[[team]]\nname = \"a\"\nkeys = \"x\" "+secretKey+"\n"),
		Entry("a key in place of the list", "version = 1\n[[team]]\nname = \"a\"\nkeys = \""+secretKey+"\"\n"),
		Entry("a key in place of a digest", "version = 1\n[[team]]\nname = \"a\"\nkey_digests = [\""+secretKey+"\"]\n"),
		Entry("a key of two teams", "version = 1\n[[team]]\nname = \"a\"\nkeys = [\""+secretKey+"\"]\n[[team]]\nname = \"b\"\nkeys = [\""+secretKey+"\"]\n"),
		Entry("an invalid value beside keys", teamFile+"rank = -1\nkeys = [\""+secretKey+"\"]\n"),
	)
})

var _ = Describe("key_revoke_ms", func() {
	load := func(more string) (settings.Router, error) {
		path := filepath.Join(GinkgoT().TempDir(), "router.toml")
		Expect(os.WriteFile(path, []byte("id = \"r\"\nfailure_domain = \"a\"\ncaller_address = \"127.0.0.1:1\"\nhealth_address = \"127.0.0.1:2\"\n"+
			"seeds = [\"127.0.0.1:3\"]\ncontrol_port = 4\n"+more), 0o600)).To(Succeed())
		return settings.LoadRouter(path)
	}

	It("is off by default, and accepts whole and decimal numbers", func() {
		for more, wanted := range map[string]float64{"": 0, "key_revoke_ms = 5000\n": 5000, "key_revoke_ms = 5000.0\n": 5000} {
			loaded, err := load(more)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.KeyRevokeMillis).To(Equal(wanted))
		}
		_, err := load("key_revoke_ms = -1\n")
		Expect(err).To(HaveOccurred())
	})
})
