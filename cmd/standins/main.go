// Command standins runs the stand-ins of the platform that a settings file lists.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cli.Command{
		Name:  "standins",
		Usage: "run stand-ins of the platform on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "INI `FILE` that lists the stand-ins",
				Required: true,
			},
		},
		Action: serve,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, command *cli.Command) error {
	text, err := os.ReadFile(command.String("settings"))
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	settings, err := standin.Parse(text)
	if err != nil {
		return err
	}
	var components []standin.Component
	// TODO: add the platform stand-in here, built from settings.Platform and
	// served with standin.ServeHandler.
	for _, upstream := range settings.Upstreams {
		components = append(components, upstream.Component())
	}
	return standin.Run(ctx, components, command.Root().Writer)
}
