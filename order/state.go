package order

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// wantedPrefix precedes the upstream id in the key of a wanted state.
	wantedPrefix kv.Key = "order/wanted/"
	// holderKey is held by the host that issues orders.
	holderKey kv.Key = "order/holder"
)

// Role is the part of the work that an engine does.
type Role string

// Wanted is the desired state of one engine.
type Wanted struct {
	Role   Role              `json:"role"`
	Models []ident.ModelName `json:"models"`
}

// Actual is the state that an engine reports.
type Actual struct {
	Role    Role
	Models  []ident.ModelName
	Loading []ident.ModelName // ordered and not yet loaded
}

// Order is the sealed set of orders to an engine. Each is idempotent.
//
//sumtype:decl
type Order interface{ order() }

// Load orders an engine to load a model, adapter or version.
type Load struct {
	Model ident.ModelName
}

// Unload orders an engine to unload a model or to stop loading it.
type Unload struct {
	Model ident.ModelName
}

// SetRole orders an engine to change its role.
type SetRole struct {
	Role Role
}

func (Load) order()    {}
func (Unload) order()  {}
func (SetRole) order() {}

// SetWanted writes the desired state of an engine if its entry has the expected
// version, 0 for none. It returns the errors of kv.Store.
func SetWanted(ctx context.Context, store kv.Store, engine ident.UpstreamID, wanted Wanted, expect kv.Version) (kv.Version, error) {
	value, err := json.Marshal(wanted)
	if err != nil {
		return 0, errors.Annotate(err, "encode wanted state")
	}
	version, err := store.Put(ctx, kv.Put{
		Key:    wantedPrefix + kv.Key(engine),
		Value:  value,
		Expect: expect,
	})
	return version, errors.Annotatef(err, "set wanted state of engine %q", engine)
}

// difference returns the orders that lead from the actual to the wanted state.
// Models are unloaded first, because engines have limited memory.
func difference(wanted Wanted, actual Actual) []Order {
	var orders []Order
	if wanted.Role != actual.Role {
		orders = append(orders, SetRole{
			Role: wanted.Role,
		})
	}
	present := slices.Concat(actual.Models, actual.Loading)
	for _, model := range present {
		if !slices.Contains(wanted.Models, model) {
			orders = append(orders, Unload{
				Model: model,
			})
		}
	}
	for _, model := range wanted.Models {
		if !slices.Contains(present, model) {
			orders = append(orders, Load{
				Model: model,
			})
		}
	}
	return orders
}
