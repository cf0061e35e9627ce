package upstreams

import (
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Order is a change of an engine's state. Applying it again has no further effect.
type Order struct {
	Kind  string          `json:"kind"` // load, unload or role
	Model ident.ModelName `json:"model,omitempty"`
	Role  string          `json:"role,omitempty"`
}

// EngineState is the part of an engine's state that orders change.
type EngineState struct {
	Models  []ident.ModelName   `json:"models"`
	Role    string              `json:"role"`
	Fencing ident.FencingNumber `json:"fencing"` // highest accepted fencing number
	Orders  int                 `json:"orders"`  // number of accepted orders
}

// orders checks and applies the orders to an engine.
type orders struct {
	checkFencing bool // reject a fencing number lower than the highest accepted one

	mu    sync.Mutex
	state EngineState
}

// current returns a copy of the state.
func (o *orders) current() EngineState {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state
	state.Models = append([]ident.ModelName{}, state.Models...)
	return state
}

// serves reports whether the engine has the model loaded. An engine that never
// had a list of models serves all models.
func (o *orders) serves(model ident.ModelName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return model == "" || o.state.Models == nil || slices.Contains(o.state.Models, model)
}

// accept reports whether an order with this fencing number is accepted, and
// records the number if so.
func (o *orders) accept(number ident.FencingNumber) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkFencing && number < o.state.Fencing {
		return false
	}
	o.state.Fencing = max(o.state.Fencing, number)
	o.state.Orders++
	return true
}

// apply applies an order and reports whether its kind is known.
func (o *orders) apply(order Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch order.Kind {
	case "load":
		if !slices.Contains(o.state.Models, order.Model) {
			o.state.Models = append(o.state.Models, order.Model)
		}
	case "unload":
		o.state.Models = slices.DeleteFunc(append([]ident.ModelName{}, o.state.Models...),
			func(model ident.ModelName) bool { return model == order.Model })
	case "role":
		o.state.Role = order.Role
	default:
		return false
	}
	return true
}

func (e *Engine) getOrders(c echo.Context) error {
	return c.JSON(http.StatusOK, e.orders.current())
}

func (e *Engine) postOrder(c echo.Context) error {
	var order Order
	if err := c.Bind(&order); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	number, err := strconv.ParseUint(c.Request().Header.Get("Fencing-Number"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "order needs a Fencing-Number")
	}
	if !e.orders.accept(ident.FencingNumber(number)) {
		return c.JSON(http.StatusConflict, e.orders.current())
	}
	if order.Kind == "load" {
		e.wait(c.Request().Context(), e.config.LoadTime)
	}
	if !e.orders.apply(order) {
		return echo.NewHTTPError(http.StatusBadRequest, "unknown kind of order")
	}
	return c.JSON(http.StatusOK, e.orders.current())
}
