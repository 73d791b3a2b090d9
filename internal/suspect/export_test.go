package suspect

// Size returns the number of requests with evidence.
func (d *Detector) Size() int { return len(d.records) }

// AnswersKept returns the number of answered requests that are remembered.
func (g *Guard) AnswersKept() int { return len(g.recent) + len(g.older) }
