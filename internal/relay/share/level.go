package share

import (
	"cmp"
	"math"
	"slices"
)

// infinite is the share of those who offer less than their share.
var infinite = Cost(math.Inf(1))

// demand is what one party offers of a divided capacity.
type demand struct {
	offered Cost
	weight  Weight
}

// fairLevel returns the share per weight in the max-min fair division of a capacity:
// those who offer less get all of it, and the others divide the remainder by weight. It
// is infinite if the capacity suffices for all.
func fairLevel(demands []demand, capacity Cost) Cost {
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Compare(a.offered/Cost(a.weight), b.offered/Cost(b.weight))
	})
	weight := Weight(0)
	for _, d := range demands {
		weight += d.weight
	}
	for _, d := range demands {
		level := capacity / Cost(weight)
		if d.offered > level*Cost(d.weight) {
			return level
		}
		capacity -= d.offered
		weight -= d.weight
	}
	return infinite
}
