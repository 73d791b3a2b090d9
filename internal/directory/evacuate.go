package directory

import (
	"context"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
)

// Evacuate evacuates a failure domain, or ends its evacuation if active is not set. It returns once a quorum has stored the command.
func (d *Directory) Evacuate(ctx context.Context, domain string, active bool) error {
	if err := controlstate.CheckEvacuation(domain); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	return d.client.Evacuate(ctx, domain, active)
}
