package controlstate

import (
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// Routes is the route table in force and the document that it was parsed from.
type Routes struct {
	Table  route.Table `cbor:"1,keyasint"`
	Source []byte      `cbor:"2,keyasint,omitempty"`
	// Since is the log index at which the table came into force.
	Since uint64 `cbor:"3,keyasint,omitempty"`
}

// putRoutes validates the table again, because a member must never hold a table that another member would refuse.
func (s *State) putRoutes(index uint64, put PutRoutes) Result {
	if err := put.Table.Validate(); err != nil {
		return s.refuse(err)
	}
	if put.Table.Version <= s.routes.Table.Version {
		result := s.currentResult()
		result.Version = s.routes.Table.Version
		return result
	}
	s.routes = Routes{Table: put.Table, Source: put.Source, Since: index}
	s.instances.SetServices(put.Table.ServiceNames())
	result := s.advanceRevision(index)
	result.Version = put.Table.Version
	return result
}

func (s *State) reportInstance(index uint64, report ReportInstance) Result {
	if !s.instances.Apply(report.Report, index) {
		return s.currentResult()
	}
	return s.advanceRevision(index)
}

// Routes returns the route table in force.
func (s *State) Routes() Routes { return s.routes }

// Instances returns the table of upstreams that report to the control group. The caller must not change it.
func (s *State) Instances() *registry.Table { return s.instances }
