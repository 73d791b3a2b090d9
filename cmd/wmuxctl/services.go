package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// serviceSummary is a service with its rule, its shards and the number of its upstreams in each state.
type serviceSummary struct {
	model.Service
	Rule   model.Rule `json:"rule"`
	Shards int        `json:"shards"`
	// Covered is the number of shards with a ready upstream.
	Covered   int                         `json:"covered"`
	Upstreams map[model.UpstreamState]int `json:"upstreams"`
}

func servicesCommand(opts *options) *cobra.Command {
	command := viewCommand(opts, func(view model.View) error {
		summaries := summarise(view)
		return opts.printTable(summaries, "SERVICE|KIND|SHARDS COVERED|READY|DRAINING|DRAINED|LOST|MAX SHRINK|PARTIAL", serviceRows(summaries))
	})
	command.Use = "services"
	command.Short = "List the services with their rules, shards and upstream states"
	command.Example = "  wmuxctl services"
	return command
}

func summarise(view model.View) []serviceSummary {
	byService := map[string][]model.Upstream{}
	for _, upstream := range view.Upstreams {
		byService[upstream.Service] = append(byService[upstream.Service], upstream)
	}
	summaries := make([]serviceSummary, 0, len(view.Config.Inventory.Services))
	for _, service := range view.Config.Inventory.Services {
		summary := serviceSummary{Service: service, Rule: view.Config.RuleFor(service.Name), Upstreams: map[model.UpstreamState]int{}}
		covered := map[int]bool{}
		for _, upstream := range byService[service.Name] {
			summary.Shards = max(summary.Shards, upstream.ShardCount)
			summary.Upstreams[upstream.State]++
			covered[upstream.Shard] = covered[upstream.Shard] || upstream.State == model.UpstreamReady
		}
		for _, ready := range covered {
			if ready {
				summary.Covered++
			}
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

func serviceRows(summaries []serviceSummary) [][]any {
	var rows [][]any
	for _, s := range summaries {
		rows = append(rows, []any{
			s.Name, s.Kind, fmt.Sprintf("%d/%d", s.Covered, s.Shards),
			s.Upstreams[model.UpstreamReady], s.Upstreams[model.UpstreamDraining], s.Upstreams[model.UpstreamDrained],
			s.Upstreams[model.UpstreamLost], s.Rule.MaxShrink, s.Rule.PartialAllowed,
		})
	}
	return rows
}
