package platform

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/nutmegshift/nutmegshift/internal/hostlist"
)

// maxLag is the largest lag of the host list; older lists are forgotten.
const maxLag = time.Minute

// reading is the list as it was from a point in time.
type reading struct {
	from time.Time
	list hostlist.List // read-only
}

// hosts is the host list with its recent past.
type hosts struct {
	now     func() time.Time
	mu      sync.Mutex
	lag     time.Duration
	reads   int
	past    []reading     // in time order, never empty
	changed chan struct{} // closed and replaced at each change of past or lag
}

func newHosts(now func() time.Time, first []hostlist.Host) *hosts {
	return &hosts{
		now: now,
		past: []reading{
			{
				from: now(),
				list: hostlist.List{
					Version: 1,
					Hosts:   append([]hostlist.Host{}, first...),
				},
			},
		},
		changed: make(chan struct{}),
	}
}

func (h *hosts) get(c echo.Context) error {
	after, err := number(c, "after", 0)
	if err != nil {
		return err
	}
	limit, err := wait(c)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.reads++
	h.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		list, next, changed := h.visible()
		if list.Version > after || c.QueryParam("after") == "" {
			return h.answer(c, list)
		}
		due := time.NewTimer(next)
		select {
		case <-changed:
		case <-due.C:
		case <-timer.C:
			due.Stop()
			return h.answer(c, list)
		case <-c.Request().Context().Done():
			due.Stop()
			return c.Request().Context().Err()
		}
		due.Stop()
	}
}

// answer sends the list unless the reader has it already.
func (h *hosts) answer(c echo.Context, list hostlist.List) error {
	tag := strconv.Quote(strconv.FormatUint(list.Version, 10))
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, list)
}

func (h *hosts) put(c echo.Context) error {
	var host hostlist.Host
	if err := decode(c, &host); err != nil {
		return err
	}
	if err := host.Check(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	list := h.change(func(rows []hostlist.Host) []hostlist.Host {
		i := slices.IndexFunc(rows, func(row hostlist.Host) bool { return row.Name == host.Name })
		if i < 0 {
			return append(rows, host)
		}
		rows[i] = host
		return rows
	})
	return c.JSON(http.StatusOK, list)
}

func (h *hosts) delete(c echo.Context) error {
	name := c.QueryParam("name")
	list := h.change(func(rows []hostlist.Host) []hostlist.Host {
		return slices.DeleteFunc(rows, func(row hostlist.Host) bool { return row.Name == name })
	})
	return c.JSON(http.StatusOK, list)
}

func (h *hosts) setLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
	h.wake()
}

func (h *hosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads
}

// visible returns the list as it was one lag ago, the time until a later one
// becomes visible and a channel that is closed at the next change.
func (h *hosts) visible() (hostlist.List, time.Duration, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := h.now().Add(-h.lag)
	for i, later := range h.past[1:] {
		if later.from.After(seen) {
			return h.past[i].list, later.from.Sub(seen), h.changed
		}
	}
	return h.past[len(h.past)-1].list, maxWait, h.changed
}

// change adds a list made from a copy of the current rows and forgets the
// lists that no lag can show.
func (h *hosts) change(edit func([]hostlist.Host) []hostlist.Host) hostlist.List {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	last := h.past[len(h.past)-1].list
	list := hostlist.List{
		Version: last.Version + 1,
		Hosts:   edit(append([]hostlist.Host{}, last.Hosts...)),
	}
	h.past = append(h.past, reading{
		from: now,
		list: list,
	})
	for len(h.past) > 1 && !h.past[1].from.After(now.Add(-maxLag)) {
		h.past = h.past[1:]
	}
	h.wake()
	return list
}

func (h *hosts) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}
