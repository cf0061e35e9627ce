package batch

const (
	// floorShare is the least share of the requests of a kind that is accepted, relative to
	// the share of all requests. A quarter is promised, and some accepted ones still fail.
	floorShare = 0.3
	// kindWeight and allWeight are the weights of a request in the moving averages of the
	// accepted shares, of a kind and of all.
	kindWeight = 0.01
	allWeight  = 0.003
	// floorRank is a rank before those of all routes.
	floorRank Rank = -1 << 20
)

// acceptance has the recent shares of requests that were accepted. Users of a kind of
// which next to nothing is accepted take the service for down, so kinds below a floor come
// before others.
type acceptance struct {
	all    float64
	byKind map[Kind]float64
}

func newAcceptance() acceptance {
	return acceptance{
		all:    1,
		byKind: make(map[Kind]float64),
	}
}

// belowFloor reports whether a kind is accepted too rarely, compared with all.
func (a *acceptance) belowFloor(kind Kind) bool {
	share, known := a.byKind[kind]
	return known && share < floorShare*a.all
}

// observe records whether a request was accepted.
func (a *acceptance) observe(kind Kind, accepted bool) {
	value := 0.0
	if accepted {
		value = 1
	}
	share, known := a.byKind[kind]
	if !known {
		share = 1
	}
	a.byKind[kind] = share + kindWeight*(value-share)
	a.all += allWeight * (value - a.all)
}

// kind returns the kind of the first stage that has pieces, which stands for the route.
func (j *job) kind() Kind {
	for _, t := range j.tasks {
		if t.stage.Pieces > 0 {
			return t.stage.Kind
		}
	}
	return ""
}
