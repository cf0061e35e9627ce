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

// maxLag is the maximum lag of the host list; older versions are deleted.
const maxLag = time.Minute

// snapshot is a version of the host list.
type snapshot struct {
	since time.Time     // when it became current
	list  hostlist.List // read-only
}

// hosts is the host list with its recent versions.
type hosts struct {
	now     func() time.Time
	mu      sync.Mutex
	lag     time.Duration
	reads   int
	history []snapshot    // in time order, never empty
	changed chan struct{} // closed and replaced at each change of history or lag
}

func newHosts(now func() time.Time, first []hostlist.Host) *hosts {
	return &hosts{
		now: now,
		history: []snapshot{
			{
				since: now(),
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
	after, err := queryNumber(c, "after", 0)
	if err != nil {
		return err
	}
	timeout, err := queryWait(c)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.reads++
	h.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		list, untilNext, changed := h.visible()
		if list.Version > after || c.QueryParam("after") == "" {
			return h.respond(c, list)
		}
		nextVisible := time.NewTimer(untilNext)
		select {
		case <-changed:
		case <-nextVisible.C:
		case <-timer.C:
			nextVisible.Stop()
			return h.respond(c, list)
		case <-c.Request().Context().Done():
			nextVisible.Stop()
			return c.Request().Context().Err()
		}
		nextVisible.Stop()
	}
}

// respond sends the list, or status 304 if the client has this version already.
func (h *hosts) respond(c echo.Context, list hostlist.List) error {
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
	list := h.update(func(rows []hostlist.Host) []hostlist.Host {
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
	list := h.update(func(rows []hostlist.Host) []hostlist.Host {
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

func (h *hosts) readCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads
}

// visible returns the list as it was one lag ago, the time until a newer
// version becomes visible and a channel that is closed at the next change.
func (h *hosts) visible() (hostlist.List, time.Duration, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	asOf := h.now().Add(-h.lag)
	for i, newer := range h.history[1:] {
		if newer.since.After(asOf) {
			return h.history[i].list, newer.since.Sub(asOf), h.changed
		}
	}
	return h.history[len(h.history)-1].list, maxWait, h.changed
}

// update adds a version by editing a copy of the current rows, and deletes the
// versions that are too old for any lag.
func (h *hosts) update(edit func([]hostlist.Host) []hostlist.Host) hostlist.List {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	last := h.history[len(h.history)-1].list
	list := hostlist.List{
		Version: last.Version + 1,
		Hosts:   edit(append([]hostlist.Host{}, last.Hosts...)),
	}
	h.history = append(h.history, snapshot{
		since: now,
		list:  list,
	})
	for len(h.history) > 1 && !h.history[1].since.After(now.Add(-maxLag)) {
		h.history = h.history[1:]
	}
	h.wake()
	return list
}

func (h *hosts) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}
