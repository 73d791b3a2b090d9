package relay

// Pacer is implemented by executors that reduce the share of requests that an upstream gets after a start or recovery.
type Pacer interface {
	// Reduction returns by how much the share is reduced: 0 for not, 1 - share otherwise.
	Reduction(instance string) float64
}

// reduction returns by how much this relay reduces the share of the upstream.
func (s *Server) reduction(instance string) float64 {
	if pacer, ok := s.executor.(Pacer); ok {
		return pacer.Reduction(instance)
	}
	return 0
}
