package booking

// Candidate is a ready upstream that can run a booking, with its owner.
type Candidate struct {
	Upstream      string
	OwnerID       string
	OwnerInstance uint64
	// LoadPermille is the load of the upstream that the entry VM knows of, in thousandths of its slots.
	LoadPermille int
}

// target is an upstream with one owner instance. After a refusal, the same upstream may be tried with a new owner.
type target struct {
	upstream string
	instance uint64
}

func (c Candidate) target() target { return target{upstream: c.Upstream, instance: c.OwnerInstance} }

// chooseCandidate selects by the power of two choices: it returns the less loaded of two random candidates that were
// not tried before. With the least loaded of all, every entry VM would send to the same upstream after the same load
// report.
func chooseCandidate(candidates []Candidate, tried map[target]bool, random uint64) (Candidate, bool) {
	var untried []Candidate
	for _, candidate := range candidates {
		if !tried[candidate.target()] {
			untried = append(untried, candidate)
		}
	}
	if len(untried) == 0 {
		return Candidate{}, false
	}
	n := uint64(len(untried))
	first := untried[random%n]
	if n == 1 {
		return first, true
	}
	second := untried[(random+1+(random/n)%(n-1))%n]
	if second.LoadPermille < first.LoadPermille {
		return second, true
	}
	return first, true
}
