package callermem

// Gauges registers a gauge.
type Gauges interface {
	RegisterGauge(name, description string, read func() int64) error
}

// RegisterMetrics registers what callers hold beside the bounds, and how many were limited for each reason.
func (m *Memory) RegisterMetrics(gauges Gauges) error {
	reads := map[string]func() int64{
		"wisteriamux.callers.memory":            func() int64 { return m.Usage().Bytes },
		"wisteriamux.callers.memory.peak":       func() int64 { return m.Usage().PeakBytes },
		"wisteriamux.callers.memory.bound":      func() int64 { return m.Usage().TotalBytes },
		"wisteriamux.callers.connections":       func() int64 { return m.Usage().Connections },
		"wisteriamux.callers.connections.bound": func() int64 { return m.Usage().AllowedConnections },
	}
	for _, r := range Reasons() {
		reads["wisteriamux.callers.limited."+r.String()] = func() int64 { return m.Count(r) }
	}
	for name, read := range reads {
		if err := gauges.RegisterGauge(name, "callers: what they hold, and how often they were limited", read); err != nil {
			return err
		}
	}
	return nil
}
