package load

import (
	"fmt"
	"math/rand/v2"
)

// Class is one kind of request in a mix.
type Class struct {
	Name  string
	Share float64
	// Services are the patterns that a search asks for. With Any, each search asks for one of them.
	Services []string
	PickOne  bool
	// Booking is the service that a booking goes to; empty for a search.
	Booking string
	// Callers are the names that requests of the class are sent under.
	Callers []string
}

// Mix is the traffic of one user. The shares add up to 1.
type Mix []Class

// RequestSpec is one drawn request.
type RequestSpec struct {
	Class    *Class
	Services []string
	Caller   string
}

// Draw chooses a class by its share, then a service and a caller.
func (m Mix) Draw(random *rand.Rand) RequestSpec {
	point := random.Float64()
	class := &m[len(m)-1]
	for n := range m {
		if point < m[n].Share {
			class = &m[n]
			break
		}
		point -= m[n].Share
	}
	pick := RequestSpec{Class: class, Services: class.Services}
	if class.PickOne {
		pick.Services = class.Services[random.IntN(len(class.Services)):][:1]
	}
	if len(class.Callers) > 0 {
		pick.Caller = class.Callers[random.IntN(len(class.Callers))]
	}
	return pick
}

func callers(prefix string, count int) []string {
	names := make([]string, count)
	for n := range names {
		names[n] = fmt.Sprintf("%s-%d", prefix, n+1)
	}
	return names
}
