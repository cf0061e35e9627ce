package load

import (
	"math/rand/v2"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// arrival is one planned request.
type arrival struct {
	at           time.Duration // from the start of the run
	organisation ident.OrganisationID
	target       ident.Address
}

// arrivals generates the arrivals of a run in order of time. Equal settings and
// seeds give equal arrivals.
type arrivals struct {
	config      Config
	random      *rand.Rand
	at          time.Duration // time of the last candidate, from the start of the run
	peakRate    float64       // highest rate
	totalWeight float64       // sum of the organisations' weights
}

func newArrivals(config Config) *arrivals {
	a := &arrivals{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		peakRate: config.Rate,
	}
	for _, burst := range config.Bursts {
		a.peakRate = max(a.peakRate, config.Rate*burst.Factor)
	}
	for _, share := range config.Organisations {
		a.totalWeight += share.Weight
	}
	return a
}

// next returns the next arrival, or false at the end of the run. It thins a Poisson
// process of the peak rate down to the current rate.
func (a *arrivals) next() (arrival, bool) {
	if a.peakRate <= 0 {
		return arrival{}, false
	}
	for {
		a.at += time.Duration(a.random.ExpFloat64() / a.peakRate * float64(time.Second))
		if a.at >= a.config.Duration {
			return arrival{}, false
		}
		if a.random.Float64()*a.peakRate < a.currentRate() {
			return arrival{
				at:           a.at,
				organisation: a.randomOrganisation(),
				target:       a.config.Targets[a.random.IntN(len(a.config.Targets))],
			}, true
		}
	}
}

// currentRate returns the rate at a.at. Of overlapping bursts the last in the list
// applies.
func (a *arrivals) currentRate() float64 {
	rate := a.config.Rate
	for _, burst := range a.config.Bursts {
		if a.at >= burst.Start && a.at < burst.Start+burst.Duration {
			rate = a.config.Rate * burst.Factor
		}
	}
	return rate
}

func (a *arrivals) randomOrganisation() ident.OrganisationID {
	point := a.random.Float64() * a.totalWeight
	for _, share := range a.config.Organisations {
		point -= share.Weight
		if point < 0 {
			return share.Organisation
		}
	}
	return ""
}
