package load

import (
	"encoding/json"
	"path"

	"github.com/wisteriamux/wisteriamux/internal/entry"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/standin"
)

// checkResponse compares what a response claims with its items, each of which names the service, shard and version
// that a stand-in really searched. It returns the first contradiction.
func checkResponse(response entry.SearchResponse, query string, patterns []string, shards map[string]int) string {
	found, contradiction := searched(response, query)
	if contradiction != "" {
		return contradiction
	}
	claimed := map[model.ShardID]bool{}
	for _, shard := range response.Coverage.Included {
		if claimed[shard] {
			return "shard is claimed twice"
		}
		claimed[shard] = true
		if !found[shard] {
			return "claimed shard has no item"
		}
	}
	for shard := range found {
		if !claimed[shard] {
			return "item of a shard that is not claimed"
		}
	}
	return checkMissing(response, claimed, patterns, shards)
}

// searched returns the shards of the items.
func searched(response entry.SearchResponse, query string) (map[model.ShardID]bool, string) {
	found := map[model.ShardID]bool{}
	for _, raw := range response.Items {
		var item standin.Item
		if err := json.Unmarshal(raw, &item); err != nil {
			return nil, "item is not one of a stand-in"
		}
		if item.Query != query {
			return nil, "item belongs to another query"
		}
		if item.Version != response.Snapshot.Version || item.Generation != response.Snapshot.Generations[item.Service] {
			return nil, "item is of another snapshot"
		}
		shard := model.ShardID{Service: item.Service, Shard: item.Shard}
		if found[shard] {
			return nil, "shard is answered twice"
		}
		found[shard] = true
	}
	return found, ""
}

func checkMissing(response entry.SearchResponse, claimed map[model.ShardID]bool, patterns []string, shards map[string]int) string {
	missing := map[model.ShardID]bool{}
	for _, shard := range response.Coverage.Missing {
		if claimed[shard.ShardID] {
			return "shard is claimed and missing"
		}
		missing[shard.ShardID] = true
	}
	if response.Status == entry.StatusAnswered && len(missing) > 0 {
		return "full answer with missing shards"
	}
	for shard := range asked(patterns, shards) {
		if !claimed[shard] && !missing[shard] {
			return "shard is neither claimed nor missing"
		}
	}
	return ""
}

// asked returns all the shards of the services that match.
func asked(patterns []string, shards map[string]int) map[model.ShardID]bool {
	all := map[model.ShardID]bool{}
	for service, count := range shards {
		for _, pattern := range patterns {
			if matched, err := path.Match(pattern, service); err != nil || !matched {
				continue
			}
			for shard := range count {
				all[model.ShardID{Service: service, Shard: shard}] = true
			}
		}
	}
	return all
}

// neededShards returns how many sub-requests the search needs when none is repeated.
func neededShards(patterns []string, shards map[string]int, coverage model.Coverage) int {
	if shards == nil {
		return len(coverage.Included) + len(coverage.Missing)
	}
	return len(asked(patterns, shards))
}
