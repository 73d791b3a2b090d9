package registry

// previewDisplacing returns the effect of a heartbeat under DisplaceByAddress.
func (t *Table) previewDisplacing(r Report, current Instance, known bool) Effect {
	if known {
		if r.Instance.Born < current.Born {
			return Stale
		}
		if r.Instance.Born == current.Born {
			if effect := previewSequence(r, current); effect != Change {
				return effect
			}
		}
	} else if gone, ok := t.departures[r.Instance.ID]; ok && !gone.allowsDisplacingReturnOf(r.Instance) {
		return Departed
	}
	if holder, ok := t.addressHolder(r.Instance); ok && holder.Born > r.Instance.Born {
		return Stale
	}
	return Change
}

// addressHolder returns the upstream that started last of the others that are registered at the address of the instance, if any.
func (t *Table) addressHolder(i Instance) (holder Instance, ok bool) {
	for _, id := range t.byAddress[i.Address] {
		other := t.instances[id]
		if id != i.ID && (!ok || other.Born > holder.Born || (other.Born == holder.Born && other.ID > holder.ID)) {
			holder, ok = other, true
		}
	}
	return holder, ok
}

// displace registers an instance and removes the holder of its address for good.
func (t *Table) displace(i Instance, index uint64) {
	if holder, ok := t.addressHolder(i); ok {
		t.remove(holder.ID, index, displaced)
	}
	t.put(i, index)
}

// allowsDisplacingReturnOf reports whether a report may register the upstream again under DisplaceByAddress.
func (d Departure) allowsDisplacingReturnOf(i Instance) bool {
	if i.Born != d.Born {
		return i.Born > d.Born
	}
	return !d.Final && i.Sequence > d.Sequence
}
