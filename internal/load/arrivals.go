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

// arrivals yields the arrivals of a run in order; equal seeds give equal runs.
type arrivals struct {
	config Config
	random *rand.Rand
	at     time.Duration
	peak   float64 // highest rate
	weight float64 // sum of the organisations' weights
}

func newArrivals(config Config) *arrivals {
	a := &arrivals{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 0)),
		peak:   config.Rate,
	}
	for _, burst := range config.Bursts {
		a.peak = max(a.peak, config.Rate*burst.Factor)
	}
	for _, share := range config.Organisations {
		a.weight += share.Weight
	}
	return a
}

// next thins a process at the peak rate down to the rate of the moment.
func (a *arrivals) next() (arrival, bool) {
	if a.peak <= 0 {
		return arrival{}, false
	}
	for {
		a.at += time.Duration(a.random.ExpFloat64() / a.peak * float64(time.Second))
		if a.at >= a.config.Duration {
			return arrival{}, false
		}
		if a.random.Float64()*a.peak < a.rate() {
			return arrival{
				at:           a.at,
				organisation: a.organisation(),
				target:       a.config.Targets[a.random.IntN(len(a.config.Targets))],
			}, true
		}
	}
}

// rate is the rate at the present moment; the last of overlapping bursts applies.
func (a *arrivals) rate() float64 {
	rate := a.config.Rate
	for _, burst := range a.config.Bursts {
		if a.at >= burst.At && a.at < burst.At+burst.For {
			rate = a.config.Rate * burst.Factor
		}
	}
	return rate
}

func (a *arrivals) organisation() ident.OrganisationID {
	at := a.random.Float64() * a.weight
	for _, share := range a.config.Organisations {
		at -= share.Weight
		if at < 0 {
			return share.Organisation
		}
	}
	return ""
}
