package settings

import (
	"bytes"
	"errors"
	"os"

	"github.com/BurntSushi/toml"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// RouteTeam is the TOML form of a team. A file that is applied may hold keys; the file of a table in force holds only digests.
type RouteTeam struct {
	Name string `toml:"name" validate:"required,max=128"`
	// Keys and KeyDigests have no rules for their values here: an error would quote the value.
	Keys []string `toml:"keys,omitempty" json:"-"`
	// KeyDigests are SHA-256 digests of further keys in hexadecimal.
	KeyDigests []string `toml:"key_digests,omitempty"`
	// Rank replaces the rank of the route if it is set.
	Rank *int `toml:"rank,omitempty" validate:"omitempty,min=0,max=1000"`
	// PerSecond and Burst are the quota of the team over all entry VMs together. A PerSecond of 0 means no limit.
	PerSecond float64 `toml:"per_second,omitempty" validate:"min=0,max=1000000000"`
	Burst     float64 `toml:"burst,omitempty" validate:"min=0,max=1000000000"`
}

func (t RouteTeam) team() (route.Team, error) {
	team := route.Team{Name: t.Name, PerSecond: t.PerSecond, Burst: t.Burst}
	if t.Rank != nil {
		team.Ranked, team.Rank = true, *t.Rank
	}
	for _, key := range t.Keys {
		team.Keys = append(team.Keys, route.DigestKey(key))
	}
	for _, text := range t.KeyDigests {
		digest, err := route.ParseKeyDigest(text)
		if err != nil {
			return route.Team{}, fault.New(fault.Settings, "settings.routes", "team %q: %w", t.Name, err)
		}
		team.Keys = append(team.Keys, digest)
	}
	return team, nil
}

func routeTeamOf(team route.Team) RouteTeam {
	t := RouteTeam{Name: team.Name, PerSecond: team.PerSecond, Burst: team.Burst}
	if team.Ranked {
		t.Rank = &team.Rank
	}
	for _, key := range team.Keys {
		t.KeyDigests = append(t.KeyDigests, key.String())
	}
	return t
}

// loadSecret is load for a file that may hold keys. A syntax error in such a file is reported by its line only, because the
// parser quotes what it has read.
func loadSecret(path string, target any) error {
	data, meta, err := decode(path, target)
	if err == nil {
		return validateLoaded(path, data, meta, target)
	}
	var parseError toml.ParseError
	if errors.As(err, &parseError) && mayHoldKeys(path) {
		return fault.New(fault.Settings, "settings.load", "%s:%d: the file cannot be parsed at this line, whose text is not printed since it may contain a key",
			path, parseError.Position.Line)
	}
	return err
}

// mayHoldKeys reports whether a file with routes defines teams, as far as that can be told from a file with syntax errors.
func mayHoldKeys(path string) bool {
	data, err := os.ReadFile(path)
	return err != nil || bytes.Contains(data, []byte("team")) || bytes.Contains(data, []byte("key"))
}
