package booking

// Candidate is an upstream that can take a booking.
type Candidate struct {
	Upstream      string
	OwnerID       string
	OwnerInstance uint64
	// LoadPermille is the work at the upstream in thousandths of its slots, as far as the entry VM knows it.
	LoadPermille int
}

// place is an upstream under one owner instance. After a refusal, the same upstream may be tried under a new owner.
type place struct {
	upstream string
	instance uint64
}

func (c Candidate) place() place { return place{upstream: c.Upstream, instance: c.OwnerInstance} }

// choose returns the less loaded of two candidates drawn by roll, leaving out the tried ones. Two draws avoid that all
// entry VMs send to the same upstream on the same load report.
func choose(candidates []Candidate, tried map[place]bool, roll uint64) (Candidate, bool) {
	var open []Candidate
	for _, candidate := range candidates {
		if !tried[candidate.place()] {
			open = append(open, candidate)
		}
	}
	if len(open) == 0 {
		return Candidate{}, false
	}
	count := uint64(len(open))
	first := open[roll%count]
	if count == 1 {
		return first, true
	}
	second := open[(roll+1+(roll/count)%(count-1))%count]
	if second.LoadPermille < first.LoadPermille {
		return second, true
	}
	return first, true
}
