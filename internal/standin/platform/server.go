package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/kvjson"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

const (
	// maxBody suffices for the largest value in base64 together with its key.
	maxBody = 2 << 20
	// expiryInterval bounds how late a watch reports the expiry of a lease.
	expiryInterval = 50 * time.Millisecond
)

// Config holds the dependencies of a Server.
type Config struct {
	Now         func() time.Time
	Hosts       []hostlist.Host // initial host list
	WeightRate  float64         // reads of the weight store per second
	WeightBurst int             // number of reads that the weight store admits at once
	WeightBytes int             // size of the weights of each model
}

// Server is a stand-in for the platform's services.
type Server struct {
	store   *memkv.Store
	hosts   *hosts
	weights *weights
	echo    *echo.Echo
}

// Faults is the body of PUT /faults; it replaces all faults in effect.
type Faults struct {
	Down         bool  `json:"down"`  // every key-value call fails without effect
	Delay        int64 `json:"delay"` // milliseconds added to every key-value call
	LoseResponse int   `json:"lose"`  // number of next writes that take effect but whose connection is dropped
	DropWatch    bool  `json:"drop"`  // connections of watches are dropped
	ExpireLease  bool  `json:"lapse"` // all leases expire when they are next checked
	Lag          int64 `json:"lag"`   // milliseconds by which the host list lags, at most 60,000
}

// Counts is the response body of GET /counts.
type Counts struct {
	Reads          int `json:"reads"`           // of the key-value service
	Writes         int `json:"writes"`          // of the key-value service
	Watches        int `json:"watches"`         // waiting now
	Hosts          int `json:"hosts"`           // reads of the host list
	Weights        int `json:"weights"`         // reads admitted by the weight store
	WeightsRefused int `json:"weights_refused"` // reads above the weight store's rate
}

// New returns a stand-in with an empty store.
func New(config Config) *Server {
	s := &Server{
		store:   memkv.New(config.Now),
		hosts:   newHosts(config.Now, config.Hosts),
		weights: newWeights(config),
		echo:    echo.New(),
	}
	s.echo.GET(kvjson.EntryPath, s.get)
	s.echo.PUT(kvjson.EntryPath, s.put)
	s.echo.DELETE(kvjson.EntryPath, s.delete)
	s.echo.GET(kvjson.ListPath, s.list)
	s.echo.GET(kvjson.WatchPath, s.watch)
	s.echo.POST(kvjson.LeasePath, s.grant)
	s.echo.POST(kvjson.RenewPath, s.renew)
	s.echo.DELETE(kvjson.LeasePath, s.revoke)
	s.echo.GET("/hosts", s.hosts.get)
	s.echo.PUT("/hosts", s.hosts.put)
	s.echo.DELETE("/hosts", s.hosts.delete)
	s.echo.GET("/weights/:model", s.weights.get)
	s.echo.PUT("/faults", s.setFaults)
	s.echo.GET("/counts", s.counts)
	return s
}

// Handler returns the HTTP interface of the stand-in.
func (s *Server) Handler() http.Handler { return s.echo }

// Run expires leases whose time is over until ctx is done, and returns the error
// of ctx. Without Run a lease expires only at the next call, and a waiting watch
// does not report the expiry.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.store.Expire()
		}
	}
}

func (s *Server) setFaults(c echo.Context) error {
	var faults Faults
	if err := decode(c, &faults); err != nil {
		return err
	}
	lag := time.Duration(faults.Lag) * time.Millisecond
	if faults.Delay < 0 || faults.LoseResponse < 0 || lag < 0 || lag > maxLag {
		return echo.NewHTTPError(http.StatusBadRequest, "fault out of range")
	}
	s.store.SetFaults(memkv.Faults{
		Down:         faults.Down,
		Delay:        time.Duration(faults.Delay) * time.Millisecond,
		LoseResponse: faults.LoseResponse,
		DropWatch:    faults.DropWatch,
		ExpireLease:  faults.ExpireLease,
	})
	s.hosts.setLag(lag)
	return c.JSON(http.StatusOK, faults)
}

func (s *Server) counts(c echo.Context) error {
	stored := s.store.Counts()
	admitted, refused := s.weights.counts()
	return c.JSON(http.StatusOK, Counts{
		Reads:          stored.Reads,
		Writes:         stored.Writes,
		Watches:        stored.Watches,
		Hosts:          s.hosts.readCount(),
		Weights:        admitted,
		WeightsRefused: refused,
	})
}

// decode reads a JSON body of at most maxBody bytes. Its errors are HTTP errors.
func decode(c echo.Context, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
		}
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}
