package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/router"
)

// explainError is a failure of explain, with an exit code of its own.
type explainError struct {
	err      *fault.Error
	exitCode int
}

// Error implements the error interface.
func (e *explainError) Error() string { return e.err.Error() }

func (e *explainError) Unwrap() error { return e.err }

func explainFailure(exitCode int, code fault.Code, format string, args ...any) error {
	return &explainError{fault.New(code, "explain", format, args...), exitCode}
}

// vmExplanation is the explanation of one entry VM.
type vmExplanation struct {
	Router string `json:"router"`
	router.Explanation
}

func explainCommand(opts *options) *cobra.Command {
	var vms []string
	var asked router.ExplainRequest
	var domain string
	command := &cobra.Command{
		Use:   "explain",
		Short: "Show what entry VMs of routes would do with a request",
		Long: "Show what entry VMs would do with a request that arrives now: its route, team and admission, the upstreams in the order\n" +
			"of choice, and what would be refused. Nothing is sent to any upstream. Each VM decides by what it observes itself.",
		Example: "  wmuxctl explain --host search.example --path /v1/search --team acme --vm http://10.1.0.9:9464",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			all := []vmExplanation{}
			for _, vm := range vms {
				e, err := fetchExplanation(ctx, vm, asked)
				if err != nil {
					return err
				}
				if domain != "" && e.FailureDomain != domain {
					continue
				}
				if err := problemOf(vm, asked, e.Problem); err != nil {
					return err
				}
				all = append(all, vmExplanation{vm, e})
			}
			if len(all) == 0 {
				return explainFailure(exitUnreachable, fault.NotFound, "none of the %d entry VMs is in the failure domain %q", len(vms), domain)
			}
			return opts.print(all, func(w io.Writer) {
				for _, e := range all {
					writeExplanation(w, e)
				}
			})
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&vms, "vm", []string{"http://127.0.0.1:9464"}, "URLs of the metrics addresses of entry VMs")
	flags.StringVar(&asked.Host, "host", "", "host of the request")
	flags.StringVar(&asked.Path, "path", "", "path of the request")
	flags.StringVar(&asked.Method, "method", http.MethodGet, "method of the request")
	flags.StringVar(&asked.Team, "team", "", "name of the team of the caller")
	flags.StringVar(&domain, "failure-domain", "", "ask only the entry VMs of this failure domain")
	_ = command.MarkFlagRequired("host")
	_ = command.MarkFlagRequired("path")
	return command
}

// fetchExplanation asks an entry VM at its metrics address.
func fetchExplanation(ctx context.Context, vm string, asked router.ExplainRequest) (router.Explanation, error) {
	var e router.Explanation
	query := url.Values{"host": {asked.Host}, "path": {asked.Path}, "method": {asked.Method}, "team": {asked.Team}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, vm+"/explain?"+query.Encode(), http.NoBody)
	if err != nil {
		return e, fault.New(fault.BadRequest, "explain", "%w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return e, explainFailure(exitUnreachable, fault.Unavailable, "entry VM cannot be reached: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return e, explainFailure(exitUnreachable, fault.Unavailable, "%s/explain returned status %d", vm, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&e); err != nil {
		return e, explainFailure(exitUnreachable, fault.Unavailable, "%s/explain: %w", vm, err)
	}
	return e, nil
}

// problemOf returns the error for a problem that an entry VM has told.
func problemOf(vm string, asked router.ExplainRequest, problem router.Problem) error {
	switch problem {
	case "":
		return nil
	case router.NoConfiguration:
		return explainFailure(exitNoConfig, fault.Unavailable, "%s has no configuration yet", vm)
	case router.NoRoute:
		return explainFailure(exitNoRoute, fault.NotFound, "%s has no route for host %q and path %q", vm, asked.Host, asked.Path)
	case router.UnknownTeam:
		return explainFailure(exitUnknownTeam, fault.NotFound, "%s knows no team %q", vm, asked.Team)
	}
	return fault.New(fault.Internal, "explain", "%s returned the unknown problem %q", vm, problem)
}

func writeExplanation(w io.Writer, e vmExplanation) {
	_, _ = fmt.Fprintf(w, "VM %s (%s, %s)\n", e.VM, e.FailureDomain, e.Router)
	team, quota := "-", "-"
	if e.Team != nil {
		team = e.Team.Name
		if q := e.Team.Quota; q != nil {
			quota = fmt.Sprintf("%g/s burst %g, holder %s", q.PerSecond, q.Burst, q.Holder)
			if q.Held {
				quota += fmt.Sprintf(", %.1f tokens", q.Tokens)
			}
		}
	}
	a := e.Admission
	writeTable(w, "ROUTE|TABLE|TEAM|RANK|QUOTA|ADMISSION|EVIDENCE MS AGO|USUAL MS|SECOND ATTEMPT AFTER MS", [][]any{{
		e.Route, e.TableVersion, team, e.Rank, quota, fmt.Sprintf("%s, refuses %.2f", a.Mode, a.RefusedShare), a.EvidenceAge,
		fmt.Sprintf("%.1f", a.Usual), fmt.Sprintf("%.1f", e.HedgeAfter),
	}})
	var rows [][]any
	for _, target := range e.Targets {
		if len(target.Upstreams) == 0 {
			rows = append(rows, []any{target.Service, "-", "-", "-", "-", "-", "-", "-", "-", "no upstream"})
		}
		for _, u := range target.Upstreams {
			rows = append(rows, explainRow(target.Service, u))
		}
	}
	writeTable(w, "SERVICE|ORDER|UPSTREAM|ADDRESS|DOMAIN|COST|SHARE|CONNECTIONS|VIA|DECIDED BY", rows)
	for _, refusal := range e.Refusals {
		_, _ = fmt.Fprintf(w, "refused with status %d (%.2f of such requests): %s\n", refusal.Status, refusal.Share, refusal.Reason)
	}
}

func explainRow(service string, u router.UpstreamState) []any {
	order, via := "-", "direct"
	if u.Order > 0 {
		order = fmt.Sprint(u.Order)
	} else {
		via = "-"
	}
	if u.Relay != "" {
		via = u.Relay
	}
	connections := fmt.Sprintf("%d in use, %d idle", u.InFlight, u.Idle)
	if u.MaxInFlight > 0 {
		connections += fmt.Sprintf(", at most %d", u.MaxInFlight)
	}
	return []any{service, order, u.ID, u.Address, u.FailureDomain, fmt.Sprintf("%.2f", u.Cost), fmt.Sprintf("%.2f", u.Share), connections, via, decidedBy(u)}
}

// decidedBy names what speaks against an upstream, or "cost" if nothing else does.
func decidedBy(u router.UpstreamState) string {
	var all []string
	for _, factor := range []struct {
		applies bool
		name    string
	}{
		{u.Excluded != "", u.Excluded}, {u.Contested, "address contested"}, {u.Stalled, "stalled or in backoff"}, {u.Share < 1, "pace"}, {u.Cold, "cold"},
		{u.MaxInFlight > 0 && u.InFlight >= u.MaxInFlight, "connections"}, {!u.Local, "failure domain"},
	} {
		if factor.applies {
			all = append(all, factor.name)
		}
	}
	if len(all) == 0 {
		return "cost"
	}
	return strings.Join(all, ", ")
}
