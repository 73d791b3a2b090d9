package load

import (
	"encoding/json"
	"path"

	"github.com/wisteriamux/wisteriamux/internal/entry"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/standin"
)

// checkResponse compares the coverage that a response claims with its items, each of which names the service, shard and
// version that a stand-in actually searched. It returns the first contradiction, or "" if there is none.
func checkResponse(response entry.SearchResponse, query string, patterns []string, shards map[string]int) string {
	found, contradiction := searchedShards(response, query)
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

// searchedShards returns the shards that the items of the response come from, or the first contradiction.
func searchedShards(response entry.SearchResponse, query string) (map[model.ShardID]bool, string) {
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

// checkMissing checks that the shards reported missing and the claimed shards are disjoint and together cover every
// requested shard.
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
	for shard := range requestedShards(patterns, shards) {
		if !claimed[shard] && !missing[shard] {
			return "shard is neither claimed nor missing"
		}
	}
	return ""
}

// requestedShards returns all shards of the services that match one of the patterns.
func requestedShards(patterns []string, shards map[string]int) map[model.ShardID]bool {
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

// neededShards returns the number of sub-requests of a search without retries and hedges. Without known shard counts it
// relies on the coverage of the response.
func neededShards(patterns []string, shards map[string]int, coverage model.Coverage) int {
	if shards == nil {
		return len(coverage.Included) + len(coverage.Missing)
	}
	return len(requestedShards(patterns, shards))
}
