package overload

import "time"

// maxTeams bounds the number of teams and ranks whose demand is tracked.
const maxTeams = 128

// team identifies the requests of one team and rank.
type team struct {
	rank int
	name string
}

// demand tracks the decayed number of recent arrivals of each team and rank. When a new one exceeds maxTeams, it takes the place
// of the one with the lowest demand and inherits that demand (the space-saving sketch), so that a flood of names neither uses
// memory nor hides a team with a high demand. The error of one demand is at most the sum of all divided by maxTeams.
type demand struct {
	teams map[team]*teamDemand
}

type teamDemand struct {
	arrivals float64
	at       time.Time
}

func (t *teamDemand) value(now time.Time) float64 {
	return t.arrivals * decayed(now.Sub(t.at), demandWindow)
}

// clone returns a copy that shares nothing.
func (d *demand) clone() demand {
	teams := make(map[team]*teamDemand, len(d.teams))
	for key, t := range d.teams {
		copied := *t
		teams[key] = &copied
	}
	return demand{teams: teams}
}

// add counts an arrival and returns the demand of its team.
func (d *demand) add(now time.Time, rank int, name string) float64 {
	key := team{rank: rank, name: name}
	t, ok := d.teams[key]
	switch {
	case ok:
		t.arrivals = t.value(now)
	case len(d.teams) < maxTeams:
		if d.teams == nil {
			d.teams = map[team]*teamDemand{}
		}
		t = &teamDemand{}
		d.teams[key] = t
	default:
		t = d.replaceLowest(now, key)
	}
	t.arrivals++
	t.at = now
	return t.arrivals
}

// replaceLowest makes the entry with the lowest demand that of the key.
func (d *demand) replaceLowest(now time.Time, key team) *teamDemand {
	var lowest team
	var found *teamDemand
	lowestValue := 0.0
	for k, t := range d.teams {
		if value := t.value(now); found == nil || value < lowestValue {
			lowest, found, lowestValue = k, t, value
		}
	}
	delete(d.teams, lowest)
	found.arrivals = lowestValue
	d.teams[key] = found
	return found
}
