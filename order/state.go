package order

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// wantedPrefix precedes the upstream id in the key of a desired state.
	wantedPrefix kv.Key = "order/wanted/"
	// holderKey is the key that the holder creates under its lease.
	holderKey kv.Key = "order/holder"
)

// ErrMalformed reports a desired state in the store that cannot be decoded.
const ErrMalformed = errors.ConstError("malformed wanted state")

// Role names the kind of work that an engine does, for example "decode".
type Role string

// Wanted is the desired state of one engine.
type Wanted struct {
	Role   Role              `json:"role"`
	Models []ident.ModelName `json:"models"`
}

// Declared is the store entry of an engine's desired state.
type Declared struct {
	Engine  ident.UpstreamID
	Wanted  Wanted
	Version kv.Version
	Err     error // annotated ErrMalformed if the entry cannot be decoded; Wanted is then empty
}

// Actual is the state that an engine reports.
type Actual struct {
	Role    Role
	Models  []ident.ModelName
	Loading []ident.ModelName // loads in progress
}

// Order is the sealed set of orders to an engine. Each is idempotent.
//
//sumtype:decl
type Order interface{ order() }

// Load orders an engine to load a model, an adapter or a model version.
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

// SetWanted writes the desired state of an engine if its entry has the version
// expect; 0 means that there is no entry. It returns the new version, and the
// errors of kv.Store.Put.
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

// GetWanted reads the desired state of an engine. It returns the errors of
// kv.Store.Get, and ErrMalformed if the entry cannot be decoded. Engine and
// Version are set with ErrMalformed too, so that the entry can be replaced.
func GetWanted(ctx context.Context, store kv.Store, engine ident.UpstreamID) (Declared, error) {
	entry, err := store.Get(ctx, wantedPrefix+kv.Key(engine))
	if err != nil {
		return Declared{}, errors.Annotatef(err, "get wanted state of engine %q", engine)
	}
	found := decodeWanted(entry)
	return found, found.Err
}

// ListWanted reads up to limit desired states, sorted by engine id, starting
// after the engine named by after, or at the first one if after is empty. The
// result more reports whether further entries follow. An entry that cannot be
// decoded has its Err set and does not fail the call.
func ListWanted(ctx context.Context, store kv.Store, after ident.UpstreamID, limit int) (found []Declared, more bool, err error) {
	from := kv.Key("")
	if after != "" {
		from = wantedPrefix + kv.Key(after)
	}
	page, err := store.List(ctx, wantedPrefix, from, limit)
	if err != nil {
		return nil, false, errors.Annotate(err, "list wanted states")
	}
	for _, entry := range page.Entries {
		found = append(found, decodeWanted(entry))
	}
	return found, page.More, nil
}

func decodeWanted(entry kv.Entry) Declared {
	found := Declared{
		Engine:  ident.UpstreamID(strings.TrimPrefix(string(entry.Key), string(wantedPrefix))),
		Version: entry.Version,
	}
	var wanted Wanted
	if err := json.Unmarshal(entry.Value, &wanted); err != nil {
		found.Err = errors.Annotatef(ErrMalformed, "decode wanted state of engine %q: %v", found.Engine, err)
		return found
	}
	found.Wanted = wanted
	return found
}

// difference returns the orders that bring an engine from the actual to the
// desired state. Unloads precede loads, because engines have limited memory.
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
