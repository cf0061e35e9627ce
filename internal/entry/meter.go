package entry

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// StageCost is the cost of one stage of a service since the process started.
type StageCost struct {
	Service  ident.ServiceName `json:"service"`
	Stage    ident.StageName   `json:"stage"`
	Attempts uint64            `json:"attempts"`
	Crossed  uint64            `json:"crossed"` // attempts in another failure domain
	Wasted   uint64            `json:"wasted"`  // attempts whose result was not used
	Seconds  float64           `json:"seconds"`
	Price    float64           `json:"price"`
}

type stageKey struct {
	service ident.ServiceName
	stage   ident.StageName
}

// meter accumulates the costs of stages. It is safe for concurrent use.
type meter struct {
	set  *metrics.Set
	mu   sync.Mutex
	rows map[stageKey]*StageCost
}

func newMeter(set *metrics.Set) *meter {
	return &meter{
		set:  set,
		rows: make(map[stageKey]*StageCost),
	}
}

// Add implements pipeline.Meter.
func (m *meter) Add(use pipeline.Use) {
	labels := fmt.Sprintf("{service=%q,stage=%q}", use.Service, use.Stage)
	m.set.GetOrCreateHistogram("nutmegshift_stage_seconds" + labels).Update(use.Time.Seconds())
	m.set.GetOrCreateFloatCounter("nutmegshift_stage_price_total" + labels).Add(use.Price)
	m.mu.Lock()
	defer m.mu.Unlock()
	key := stageKey{
		service: use.Service,
		stage:   use.Stage,
	}
	row, ok := m.rows[key]
	if !ok {
		row = &StageCost{
			Service: use.Service,
			Stage:   use.Stage,
		}
		m.rows[key] = row
	}
	row.Attempts++
	row.Seconds += use.Time.Seconds()
	row.Price += use.Price
	if use.Crossed {
		row.Crossed++
	}
	if use.Wasted {
		row.Wasted++
	}
}

// costs returns the rows sorted by service and stage.
func (m *meter) costs() []StageCost {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]StageCost, 0, len(m.rows))
	for _, row := range m.rows {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b StageCost) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Stage, b.Stage))
	})
	return rows
}
