package load

import (
	"fmt"
	"math/rand/v2"
)

// Class is a class of requests in a mix.
type Class struct {
	Name  string
	Share float64
	// Services are the service patterns of a search. With PickOne, each search uses one of them, chosen at random.
	Services []string
	PickOne  bool
	// Booking is the service of a booking; empty for a search.
	Booking string
	// Callers are the caller names of the class. Each request uses one of them, chosen at random.
	Callers []string
}

// Mix is the request mix of one user. The shares of its classes add up to 1.
type Mix []Class

// RequestSpec is a request drawn from a mix.
type RequestSpec struct {
	Class    *Class
	Services []string
	Caller   string
}

// Draw chooses a class with the probability of its share, then a service and a caller.
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

// callerNames returns the names prefix-1 to prefix-count.
func callerNames(prefix string, count int) []string {
	names := make([]string, count)
	for n := range names {
		names[n] = fmt.Sprintf("%s-%d", prefix, n+1)
	}
	return names
}
