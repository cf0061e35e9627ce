package routes

import "time"

// ObjectiveSpread returns the longest objective of the routes with stages divided by the
// shortest one, or 0 if none has an objective.
func (t *Table) ObjectiveSpread() float64 {
	var shortest, longest time.Duration
	for _, route := range t.routes {
		if len(route.Stages) == 0 || route.Objective <= 0 {
			continue
		}
		if shortest == 0 || route.Objective < shortest {
			shortest = route.Objective
		}
		longest = max(longest, route.Objective)
	}
	if shortest == 0 {
		return 0
	}
	return float64(longest) / float64(shortest)
}
