package route_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/route"
)

// overGob returns the value as the receiver of a message has it.
func overGob[T any](value T) T {
	var data bytes.Buffer
	var decoded T
	Expect(gob.NewEncoder(&data).Encode(value)).To(Succeed())
	Expect(gob.NewDecoder(&data).Decode(&decoded)).To(Succeed())
	return decoded
}

// randomTable returns a valid table whose names are drawn from few, so that two tables have many in common.
func randomTable(random *rand.Rand, version uint64) route.Table {
	t := route.Table{Version: version}
	for _, n := range random.Perm(8) {
		if n > 0 && random.IntN(4) == 0 {
			continue
		}
		t.Services = append(t.Services, route.Service{Name: fmt.Sprint("s", n), MaxConnections: random.IntN(2),
			ColdStart: time.Duration(random.IntN(2)), ColdPerSecond: float64(random.IntN(2))})
	}
	for _, n := range random.Perm(random.IntN(12)) {
		r := route.Route{Name: fmt.Sprint("r", n), Host: fmt.Sprint("h", n%3), Prefix: fmt.Sprintf("/%d/", n), Timeout: time.Second,
			Rank: random.IntN(2), Public: random.IntN(2) == 0, Attempts: random.IntN(2)}
		switch services := t.Services; random.IntN(3) {
		case 0:
			r.Service = services[0].Name
		case 1:
			r.Split = []route.WeightedService{{Service: services[0].Name, Weight: float64(1 + random.IntN(2))}}
		default:
			for _, s := range services[:1+random.IntN(len(services))] {
				r.Shards = append(r.Shards, s.Name)
			}
			r.Coverage = float64(random.IntN(2))
		}
		t.Routes = append(t.Routes, r)
	}
	if random.IntN(2) == 0 {
		t.Limits = route.Limits{MaxHeaderBytes: random.IntN(2), MaxBodyBytes: int64(random.IntN(2))}
	}
	for n := range random.IntN(3) {
		t.Teams = append(t.Teams, route.Team{Name: fmt.Sprint("t", n), Keys: []route.KeyDigest{route.DigestKey(fmt.Sprint(n))},
			Ranked: random.IntN(2) == 0, PerSecond: float64(random.IntN(2))})
	}
	return t
}

// Guards against a VM that ends up with another table than the one in force because only the difference was sent.
var _ = Describe("the change between two tables", func() {
	It("gives the newer table after a gob round trip, and leaves the older one as it was", func() {
		for seed := range uint64(2000) {
			random := rand.New(rand.NewPCG(seed, 1))
			from, to := randomTable(random, 1), randomTable(random, 2)
			Expect(from.Validate()).To(Succeed())
			Expect(to.Validate()).To(Succeed())
			// Every other pair differs in few objects.
			if seed%2 == 0 {
				to = overGob(from)
				to.Version = 2
				if len(to.Routes) > 0 {
					to.Routes[random.IntN(len(to.Routes))].Rank = 5
				}
			}
			held := overGob(from)
			change, ok := route.ChangeBetween(from, to)
			Expect(ok).To(BeTrue())
			applied, err := overGob(change).Apply(held)
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
			Expect(applied).To(Equal(overGob(to)), "seed %d", seed)
			Expect(route.Diff(to, applied)).To(BeEmpty(), "seed %d", seed)
			Expect(held).To(Equal(overGob(from)), "seed %d", seed)
			index, wanted := route.NewIndex(applied), route.NewIndex(to)
			for n := range 12 {
				host, path := fmt.Sprint("h", n%3), fmt.Sprintf("/%d/x", n)
				Expect(index.Match(host, path)).To(Equal(wanted.Match(host, path)), "seed %d", seed)
			}
			for n := range 3 {
				key := route.DigestKey(fmt.Sprint(n))
				Expect(index.Team(key)).To(Equal(wanted.Team(key)), "seed %d", seed)
			}
		}
	})

	It("clears what the newer table does not have", func() {
		from := teamTable()
		from.Limits.MaxBodyBytes = 5
		change, ok := route.ChangeBetween(from, route.Table{Version: 8})
		Expect(ok).To(BeTrue())
		Expect(overGob(change).Apply(from)).To(Equal(route.Table{Version: 8}))
	})

	It("is not applied to a table of another version", func() {
		change, _ := route.ChangeBetween(route.Table{Version: 1}, route.Table{Version: 2})
		for _, version := range []uint64{0, 2, 3} {
			_, err := change.Apply(route.Table{Version: version})
			Expect(err).To(HaveOccurred())
		}
	})

	It("is not given for tables in which two routes share a name", func() {
		from, to := validTable(), validTable()
		from.Routes[1].Name = from.Routes[0].Name
		_, ok := route.ChangeBetween(from, to)
		Expect(ok).To(BeFalse())
		_, ok = route.ChangeBetween(to, from)
		Expect(ok).To(BeFalse())
	})
})
