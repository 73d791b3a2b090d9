package relay

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/sharedrate"
)

// CreditsArgs ask the VM that holds the bucket of a team for credits.
type CreditsArgs struct {
	Ask sharedrate.Ask
	// Forwarded is set if the call comes from a VM that was asked although it is not the holder. It is not forwarded again.
	Forwarded bool
}

// CreditsReply is the answer to CreditsArgs.
type CreditsReply struct{ Answer sharedrate.Answer }

// TakeOverArgs ask a candidate for its parts of the rates of teams, and for their buckets if it holds them.
type TakeOverArgs struct{ Claims []sharedrate.Claim }

// TakeOverReply holds the answers to the claims in the same order.
type TakeOverReply struct{ Yields []sharedrate.Yield }

// Credits grants or denies credits of a team.
func (p *session) Credits(args CreditsArgs, reply *CreditsReply) error {
	*reply = p.server.executor.Credits(p.ctx, args)
	return nil
}

// TakeOver lends the parts of the rates of teams to the holder of their buckets.
func (p *session) TakeOver(args TakeOverArgs, reply *TakeOverReply) error {
	*reply = p.server.executor.TakeOver(args)
	return nil
}

// Credits asks the peer for credits. A peer that does not answer in time counts as silent.
func (l *Link) Credits(ctx context.Context, args CreditsArgs) (CreditsReply, error) {
	var reply CreditsReply
	if err := l.ask(ctx, "Credits", args, &reply, true); err != nil {
		// A late answer may still be written to the reply.
		return CreditsReply{}, err
	}
	return reply, nil
}

// TakeOver asks the peer for its parts of rates. A peer that does not answer before the context ends is not taken out of use:
// it may only be short of processor time, and loans outlast lost renewals.
func (l *Link) TakeOver(ctx context.Context, args TakeOverArgs) (TakeOverReply, error) {
	var reply TakeOverReply
	if err := l.ask(ctx, "TakeOver", args, &reply, false); err != nil {
		return TakeOverReply{}, err
	}
	if len(reply.Yields) != len(args.Claims) {
		return TakeOverReply{}, fault.New(fault.BadRequest, "relay.takeover", "%s answers %d of %d claims", l.peer.ID, len(reply.Yields), len(args.Claims))
	}
	return reply, nil
}

// ask makes a short call on the open connection. An error with code Unsupported means that the peer does not know the method.
func (l *Link) ask(ctx context.Context, method string, args, reply any, markSilent bool) error {
	operation := "relay." + strings.ToLower(method)
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return fault.New(fault.Unavailable, operation, "no connection to %s", l.peer.ID)
	}
	call := conn.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(silentAfter)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fault.New(fault.Cancelled, operation, "call ended: %w", ctx.Err())
	case <-timer.C:
		if markSilent {
			l.markSilent(conn)
		}
		return fault.New(fault.Unavailable, operation, "no answer from %s within %s", l.peer.ID, silentAfter)
	case <-call.Done:
	}
	var remote rpc.ServerError
	switch {
	case call.Error == nil:
		return nil
	case errors.As(call.Error, &remote) && strings.HasPrefix(string(remote), "rpc: can't find method "):
		return fault.New(fault.Unsupported, operation, "%s: %w", l.peer.ID, call.Error)
	}
	return fault.New(fault.Unavailable, operation, "RPC to %s failed: %w", l.peer.ID, call.Error)
}

const (
	// quotaCandidatesPerDomain is the number of VMs of each failure domain that may hold buckets of teams, if there are then at
	// least minQuotaCandidates. Every VM keeps a link to each of them, and each renews loans from all others several times per
	// second. With two in each of four failure domains, the loss of a failure domain leaves three quarters of each rate.
	quotaCandidatesPerDomain = 2
	minQuotaCandidates       = 4
)

// quotaPrefix begins the keys under which the order of the candidates for the buckets of teams is cached.
const quotaPrefix = "team\x00"

// candidatesPerDomain returns the number of VMs of each of the failure domains that may hold the bucket with the key.
func candidatesPerDomain(key string, domains int) int {
	if strings.HasPrefix(key, quotaPrefix) {
		return max(quotaCandidatesPerDomain, minQuotaCandidates/max(1, domains))
	}
	return controlrpc.CommonPeersPerDomain
}

// quotaKey is the key under which the order of the candidates for a team's bucket is cached and computed. No upstream has it.
func quotaKey(team string) string { return quotaPrefix + team }

// QuotaHolder is a VM that may hold the bucket of a team.
type QuotaHolder struct {
	// Link leads to the VM, nil if Self is set.
	Link *Link
	Self bool
}

// QuotaHolders returns the first two usable candidates for the bucket of a team, in order. The list is empty while they are not
// known yet.
func (p *Peers) QuotaHolders(team string, now time.Time) []QuotaHolder {
	var holders []QuotaHolder
	for _, candidate := range p.rankedHolders(quotaKey(team)) {
		if candidate == nil {
			holders = append(holders, QuotaHolder{Self: true})
		} else {
			switch usable, pending := candidate.available(now); {
			case usable:
				holders = append(holders, QuotaHolder{Link: candidate})
			case pending && len(holders) == 0:
				return nil
			}
		}
		if len(holders) == 2 {
			break
		}
	}
	return holders
}

// QuotaCandidates returns the links to the other candidates for the buckets of teams, and the number of all candidates. It
// starts to connect to those that are due to be dialled.
func (p *Peers) QuotaCandidates(now time.Time) (links []*Link, total int) {
	ranked := p.rankedHolders(quotaKey(""))
	for _, link := range ranked {
		if link != nil {
			link.usable(now)
			links = append(links, link)
		}
	}
	return links, len(ranked)
}

// IsQuotaCandidate reports whether this VM is a candidate for the buckets of teams. It may be one for a while after a start, when it
// knows few other VMs, and later no longer.
func (p *Peers) IsQuotaCandidate() bool { return slices.Contains(p.rankedHolders(quotaKey("")), nil) }

// PrecedesSelf reports whether another VM comes before this one in the order of candidates for the bucket of a team.
func (p *Peers) PrecedesSelf(team, id string) bool {
	ranked := p.rankedHolders(quotaKey(team))
	self := slices.Index(ranked, nil)
	other := slices.IndexFunc(ranked, func(l *Link) bool { return l != nil && l.PeerID() == id })
	return other >= 0 && (self < 0 || other < self)
}

// FirstQuotaHolder returns the ID of the VM that holds the bucket of a team while it can be reached, or "" if it is not known yet.
func (p *Peers) FirstQuotaHolder(team string) string { return p.FirstHolder(quotaKey(team)) }
