package suspect

import "slices"

// cautiousAfter is the number of closed connections from which a search goes on with caution. A single one is mostly a reset.
const cautiousAfter = 2

// Caution decides which attempts of a search may be sent once upstreams may have ended under it. A request that ends every
// upstream that runs it would otherwise end one of each shard, and then another one of each with the second attempts. From
// the second closed connection on one attempt at a time is sent, the probe. The others are held until an upstream has
// answered the probe, and given up if its upstream ends as well.
type Caution struct {
	// closed is the number of connections that upstreams have closed since the last answer to a probe.
	closed int
	// active is set while attempts are held behind a probe.
	active  bool
	stopped bool
	// probing is set while the probe is in flight, at the shard probe.
	probing bool
	probe   int
	held    []int
}

// NewCaution returns the state of a search. A suspected one starts with a probe.
func NewCaution(suspected bool) Caution { return Caution{active: suspected} }

// Active reports whether attempts are held or given up, so that the search must not be hedged.
func (c *Caution) Active() bool { return c.active }

// Admit returns the shards to which an attempt may be sent now. It holds the others, except that it drops all of them once the
// probe's upstream has ended: dropped shards get no further attempt.
func (c *Caution) Admit(shards []int) (now, dropped []int) {
	switch {
	case c.stopped:
		return nil, shards
	case !c.active || len(shards) == 0:
		return shards, nil
	case c.probing:
		for _, shard := range shards {
			if shard == c.probe {
				now = append(now, shard)
				continue
			}
			c.held = append(c.held, shard)
		}
		return now, nil
	}
	c.probing, c.probe = true, shards[0]
	c.held = append(c.held, shards[1:]...)
	return shards[:1], nil
}

// Closed records that an upstream has closed the connection of an attempt at the shard. It returns the held shards if they are
// given up.
func (c *Caution) Closed(shard int) (dropped []int) {
	c.closed++
	if !c.active {
		c.active = c.closed >= cautiousAfter
		return nil
	}
	if !c.probing || shard != c.probe {
		return nil
	}
	c.stopped, c.probing = true, false
	return c.take()
}

// Answered records that an upstream has answered at the shard. It returns the held shards if they may be sent now.
func (c *Caution) Answered(shard int) (released []int) {
	if !c.probing || shard != c.probe {
		return nil
	}
	c.closed, c.active, c.probing = 0, false, false
	return c.take()
}

// GaveUp records that no attempt at the shard is in flight or will be sent. It returns the held shards if one of them is to be
// the next probe.
func (c *Caution) GaveUp(shard int) (next []int) {
	c.held = slices.DeleteFunc(c.held, func(other int) bool { return other == shard })
	if !c.probing || shard != c.probe {
		return nil
	}
	c.probing = false
	return c.take()
}

func (c *Caution) take() []int {
	held := c.held
	c.held = nil
	return held
}
