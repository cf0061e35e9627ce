package routes

import (
	"math"

	"github.com/nutmegshift/nutmegshift/ident"
)

// maxWeightLevels is the difference in priority above which weights no longer grow, so
// that organisations of low priority keep a share in which requests fit.
const maxWeightLevels = 4

// weights returns the weights of organisations when services are short of capacity. One
// level of priority doubles the weight; it is 1 for the least urgent organisations and for
// those without a priority, as their ranks are the same. A single organisation has none.
func weights(organisations []*Organisation, lowestPriority int) map[ident.OrganisationID]float64 {
	weights := make(map[ident.OrganisationID]float64, len(organisations))
	for _, organisation := range organisations {
		weight := 1.0
		if organisation.HasPriority {
			weight = math.Exp2(float64(min(lowestPriority-organisation.Priority, maxWeightLevels)))
		}
		weights[organisation.Name] = weight
	}
	if len(weights) < 2 {
		return nil
	}
	return weights
}

// Weight returns the weight of an organisation relative to others when services are short
// of capacity. It is 0 if the table does not list the organisation, or lists no other.
func (t *Table) Weight(organisation ident.OrganisationID) float64 {
	return t.weights[organisation]
}
