package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"

	"github.com/nutmegshift/nutmegshift/ident"
)

const readHeaderTimeout = 10 * time.Second

// Component is a stand-in that listens on its own address.
type Component struct {
	Name    string
	Address ident.Address
	// Serve serves on the listener until ctx is done.
	Serve func(ctx context.Context, listener net.Listener) error
}

// ServeHandler returns a function for Component.Serve that serves the handler
// over HTTP. When its context is done, the function closes the server with all
// connections and returns nil.
func ServeHandler(handler http.Handler) func(context.Context, net.Listener) error {
	return func(ctx context.Context, listener net.Listener) error {
		server := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Annotate(err, "serve")
		}
		return nil
	}
}

// Run starts all components, prints one line once all of them listen, and
// serves until the context ends or a component fails.
func Run(ctx context.Context, components []Component, out io.Writer) error {
	var group run.Group
	var listeners []net.Listener
	for _, component := range components {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", string(component.Address))
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return errors.Annotatef(err, "listen as %s", component.Name)
		}
		listeners = append(listeners, listener)
		componentCtx, stop := context.WithCancel(ctx)
		group.Add(func() error {
			defer stop()
			return errors.Annotate(component.Serve(componentCtx, listener), component.Name)
		}, func(error) {
			stop()
		})
	}
	waitCtx, stop := context.WithCancel(ctx)
	group.Add(func() error {
		<-waitCtx.Done()
		return nil
	}, func(error) {
		stop()
	})
	if _, err := fmt.Fprintf(out, "standins: %d components listen\n", len(components)); err != nil {
		return errors.Annotate(err, "print")
	}
	return errors.Annotate(group.Run(), "run stand-ins")
}
