package command

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
	"github.com/nutmegshift/nutmegshift/order"
)

// wantedPageSize is the number of wanted states that are read at once. It keeps a
// page far below the largest response of the store. A wanted state of the command
// line is a desired state in package order.
const wantedPageSize = 500

func orderCommand() *cli.Command {
	return &cli.Command{
		Name:  "order",
		Usage: "declare and show the wanted models and role of engines",
		Commands: []*cli.Command{
			{
				Name:  "set",
				Usage: "declare the whole wanted state of engines; the last declaration counts",
				Flags: []cli.Flag{
					storeFlag(),
					&cli.StringSliceFlag{
						Name:     "engines",
						Usage:    "`NAMES` of the engines in the host list",
						Required: true,
					},
					&cli.StringSliceFlag{
						Name:     "models",
						Usage:    "`NAMES` of the models to load, all others are unloaded; empty for none",
						Required: true,
					},
					&cli.StringFlag{
						Name:     "role",
						Usage:    "`NAME` of the role; empty for none",
						Required: true,
					},
				},
				Action: runOrderSet,
			},
			{
				Name:  "show",
				Usage: "print the wanted state of engines",
				Flags: []cli.Flag{
					storeFlag(),
					&cli.StringSliceFlag{
						Name:  "engines",
						Usage: "`NAMES` of the engines; all without it",
					},
				},
				Action: runOrderShow,
			},
		},
	}
}

func newStore(command *cli.Command) kv.Store {
	return httpkv.New(httpkv.Config{
		Address: ident.Address(command.String("store")),
		Client:  &http.Client{},
		Limit:   requestTimeout,
	})
}

func runOrderSet(ctx context.Context, command *cli.Command) error {
	store := newStore(command)
	wanted := order.Wanted{
		Role:   order.Role(command.String("role")),
		Models: []ident.ModelName{},
	}
	for _, model := range command.StringSlice("models") {
		if model != "" {
			wanted.Models = append(wanted.Models, ident.ModelName(model))
		}
	}
	for _, name := range command.StringSlice("engines") {
		if name == "" || strings.Contains(name, "/") {
			return errors.Errorf("%q is not the name of an engine", name)
		}
		declared, err := declare(ctx, store, ident.UpstreamID(name), wanted)
		if err != nil {
			return err
		}
		if err := printWanted(command, declared); err != nil {
			return err
		}
	}
	return nil
}

// declare replaces the wanted state of an engine. It fails if the state changes
// between its read and its write.
func declare(ctx context.Context, store kv.Store, engine ident.UpstreamID, wanted order.Wanted) (order.Declared, error) {
	current, err := order.GetWanted(ctx, store, engine)
	// A malformed entry is replaced, too, at the version that was read.
	if err != nil && !errors.Is(err, kv.ErrNotFound) && !errors.Is(err, order.ErrMalformed) {
		return order.Declared{}, err
	}
	version, err := order.SetWanted(ctx, store, engine, wanted, current.Version)
	switch {
	case errors.Is(err, kv.ErrConflict):
		return order.Declared{}, errors.Annotatef(err, "another operator declared engine %q at the same time, show it and set it again", engine)
	case errors.Is(err, kv.ErrUncertain):
		return order.Declared{}, errors.Annotatef(err, "engine %q may be declared, show it and set it again", engine)
	case err != nil:
		return order.Declared{}, err
	}
	return order.Declared{
		Engine:  engine,
		Wanted:  wanted,
		Version: version,
	}, nil
}

func runOrderShow(ctx context.Context, command *cli.Command) error {
	store := newStore(command)
	if names := command.StringSlice("engines"); len(names) > 0 {
		for _, name := range names {
			found, err := order.GetWanted(ctx, store, ident.UpstreamID(name))
			if err != nil && found.Err == nil {
				return err
			}
			if err := printWanted(command, found); err != nil {
				return err
			}
		}
		return nil
	}
	after := ident.UpstreamID("")
	for {
		page, more, err := order.ListWanted(ctx, store, after, wantedPageSize)
		if err != nil {
			return err
		}
		for _, found := range page {
			if err := printWanted(command, found); err != nil {
				return err
			}
			after = found.Engine
		}
		if !more {
			return nil
		}
	}
}

func printWanted(command *cli.Command, d order.Declared) error {
	if d.Err != nil {
		_, err := fmt.Fprintf(command.Root().Writer, "%s: version %d, malformed, set it again\n", d.Engine, d.Version)
		return errors.Annotate(err, "print wanted state")
	}
	models := make([]string, 0, len(d.Wanted.Models))
	for _, model := range d.Wanted.Models {
		models = append(models, string(model))
	}
	_, err := fmt.Fprintf(command.Root().Writer, "%s: version %d, role %q, models %s\n",
		d.Engine, d.Version, d.Wanted.Role, strings.Join(models, ","))
	return errors.Annotate(err, "print wanted state")
}
