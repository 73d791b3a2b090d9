package controlrpc

import "context"

// EvacuateArgs requests that a failure domain is evacuated, or that its evacuation ends if Active is not set.
type EvacuateArgs struct {
	FailureDomain string
	Active        bool
}

// Evacuate evacuates a failure domain, or ends its evacuation, and returns once that is durable on a quorum.
func (c *Client) Evacuate(ctx context.Context, domain string, active bool) error {
	_, err := call[Ack](ctx, c, "Evacuate", EvacuateArgs{FailureDomain: domain, Active: active})
	return err
}
