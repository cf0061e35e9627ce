package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/nutmegshift/nutmegshift/internal/kvjson"
	"github.com/nutmegshift/nutmegshift/kv"
)

// maxWait bounds how long a watch or a host list read waits.
const maxWait = 30 * time.Second

func (s *Server) get(c echo.Context) error {
	entry, err := s.store.Get(c.Request().Context(), kv.Key(c.QueryParam("key")))
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, kvjson.Entry(entry))
}

func (s *Server) list(c echo.Context) error {
	limit, err := queryNumber(c, "limit", 0)
	if err != nil {
		return err
	}
	prefix, after := kv.Key(c.QueryParam("prefix")), kv.Key(c.QueryParam("after"))
	found, err := s.store.List(c.Request().Context(), prefix, after, int(limit))
	if err != nil {
		return writeError(c, err)
	}
	page := kvjson.Page{
		Entries: make([]kvjson.Entry, 0, len(found.Entries)),
		Cursor:  found.Cursor,
		More:    found.More,
	}
	for _, entry := range found.Entries {
		page.Entries = append(page.Entries, kvjson.Entry(entry))
	}
	return c.JSON(http.StatusOK, page)
}

func (s *Server) put(c echo.Context) error {
	var put kvjson.Put
	if err := decode(c, &put); err != nil {
		return err
	}
	version, err := s.store.Put(writeContext(c), kv.Put(put))
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, kvjson.PutResponse{
		Version: version,
	})
}

func (s *Server) delete(c echo.Context) error {
	expect, err := queryNumber(c, "expect", 0)
	if err != nil {
		return err
	}
	if err := s.store.Delete(writeContext(c), kv.Key(c.QueryParam("key")), kv.Version(expect)); err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, kvjson.Empty{})
}

func (s *Server) watch(c echo.Context) error {
	after, err := queryNumber(c, "after", 0)
	if err != nil {
		return err
	}
	timeout, err := queryWait(c)
	if err != nil {
		return err
	}
	prefix := kv.Key(c.QueryParam("prefix"))
	found, err := s.store.WatchFor(c.Request().Context(), prefix, kv.Cursor(after), timeout)
	if errors.Is(err, kv.ErrUnavailable) {
		panic(http.ErrAbortHandler) // an interrupted watch drops its connection
	}
	if err != nil {
		return writeError(c, err)
	}
	changes := kvjson.Changes{
		Changes: make([]kvjson.Change, 0, len(found.Changes)),
		Cursor:  found.Cursor,
	}
	for _, change := range found.Changes {
		changes.Changes = append(changes.Changes, kvjson.Change{
			Entry:   kvjson.Entry(change.Entry),
			Deleted: change.Deleted,
		})
	}
	return c.JSON(http.StatusOK, changes)
}

func (s *Server) grant(c echo.Context) error {
	var grant kvjson.Grant
	if err := decode(c, &grant); err != nil {
		return err
	}
	if grant.TTL <= 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "ttl is not positive")
	}
	lease, err := s.store.Grant(writeContext(c), time.Duration(grant.TTL)*time.Millisecond)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, kvjson.Lease{
		Lease: lease,
	})
}

func (s *Server) renew(c echo.Context) error {
	var lease kvjson.Lease
	if err := decode(c, &lease); err != nil {
		return err
	}
	if err := s.store.Renew(writeContext(c), lease.Lease); err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, kvjson.Empty{})
}

func (s *Server) revoke(c echo.Context) error {
	lease, err := queryNumber(c, "lease", 0)
	if err != nil {
		return err
	}
	if err := s.store.Revoke(writeContext(c), kv.LeaseID(lease)); err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, kvjson.Empty{})
}

// writeContext returns a context for a write that runs to its end even if the
// client disconnects.
func writeContext(c echo.Context) context.Context {
	return context.WithoutCancel(c.Request().Context())
}

// writeError sends the status of a store error. It drops the connection instead
// if the store lost the response to a write.
func writeError(c echo.Context, err error) error {
	status, code := http.StatusServiceUnavailable, err.Error()
	switch {
	case errors.Is(err, kv.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, kv.ErrNotFound):
		status, code = http.StatusNotFound, kvjson.NotFound
	case errors.Is(err, kv.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, kv.ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, kv.ErrLeaseLost):
		status = http.StatusPreconditionFailed
	case errors.Is(err, kv.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	return c.JSON(status, kvjson.Error{
		Error: code,
	})
}

// queryNumber reads a query parameter; defaultValue applies if it is absent.
func queryNumber(c echo.Context, name string, defaultValue uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	parsed, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+" is not a number")
	}
	return parsed, nil
}

// queryWait reads the query parameter wait, in milliseconds, at most maxWait.
func queryWait(c echo.Context) (time.Duration, error) {
	limit := uint64(maxWait.Milliseconds())
	requested, err := queryNumber(c, "wait", limit)
	return time.Duration(min(requested, limit)) * time.Millisecond, err
}
