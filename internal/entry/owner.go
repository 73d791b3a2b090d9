package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// pool holds the slots and the connections of one upstream.
type pool struct {
	address string
	slots   chan struct{}
	client  *upstreamapi.Client
}

// owner runs sub-requests on the upstreams that this entry VM owns.
type owner struct {
	session *session

	// mu guards pools.
	mu    sync.Mutex
	pools map[string]*pool
}

func newOwner(session *session) *owner {
	return &owner{session: session, pools: map[string]*pool{}}
}

func (o *owner) pool(upstream model.Upstream) *pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current, ok := o.pools[upstream.Name]
	if ok && current.address == upstream.Address && cap(current.slots) == upstream.Slots {
		return current
	}
	created := &pool{
		address: upstream.Address,
		slots:   make(chan struct{}, upstream.Slots),
		client:  upstreamapi.NewClient(upstream.Address, upstream.Connections),
	}
	o.pools[upstream.Name] = created
	return created
}

// execute runs a sub-request on its upstream once a slot is free.
func (o *owner) execute(ctx context.Context, sub ownerrpc.SubRequest) ownerrpc.SubResult {
	result := ownerrpc.SubResult{ID: sub.ID}
	ctx, cancel := context.WithTimeout(ctx, sub.Timeout)
	defer cancel()
	upstream, err := o.admit(sub)
	if err != nil {
		result.Fault = fault.ToWire(err)
		return result
	}
	target := o.pool(upstream)
	select {
	case target.slots <- struct{}{}:
		defer func() { <-target.slots }()
	case <-ctx.Done():
		result.Fault = fault.ToWire(fault.New(fault.NotRun, "owner.execute", "no slot on %s in time", sub.Upstream))
		return result
	}
	started := o.session.now()
	result.Items, err = o.send(ctx, target, sub)
	result.Service = o.session.now().Sub(started)
	result.Fault = fault.ToWire(err)
	return result
}

// admit checks the lease and that the upstream still takes new work.
func (o *owner) admit(sub ownerrpc.SubRequest) (model.Upstream, error) {
	current, err := o.session.leased()
	if err != nil {
		return model.Upstream{}, err
	}
	upstream, ok := current.upstreams[sub.Upstream]
	if !ok || upstream.State != model.UpstreamReady {
		return upstream, fault.New(fault.NotRun, "owner.admit", "upstream %s takes no new work", sub.Upstream)
	}
	return upstream, nil
}

func (o *owner) send(ctx context.Context, target *pool, sub ownerrpc.SubRequest) ([][]byte, error) {
	deadline, _ := ctx.Deadline()
	call := upstreamapi.Call{
		RequestID:  sub.RequestID,
		Timeout:    time.Until(deadline),
		Version:    sub.Version,
		Generation: sub.Generation,
	}
	if sub.Booking != nil {
		answer, err := target.client.Book(ctx, call, sub.Booking.Key, sub.Booking.Attempt, sub.Booking.Payload)
		return [][]byte{answer}, err
	}
	response, err := target.client.Search(ctx, call, upstreamapi.SearchRequest{Query: sub.Query, Shard: sub.Shard})
	return rawItems(response.Items), err
}

func rawItems(items []json.RawMessage) [][]byte {
	raw := make([][]byte, len(items))
	for i, item := range items {
		raw[i] = item
	}
	return raw
}

// OwnerService is the net/rpc face of the owner.
type OwnerService struct {
	owner *owner
}

// Execute runs one sub-request.
func (s *OwnerService) Execute(args ownerrpc.ExecuteArgs, reply *ownerrpc.ExecuteReply) error {
	reply.Result = s.owner.execute(context.Background(), args.SubRequest)
	return nil
}
