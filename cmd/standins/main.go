// Command standins runs stand-ins for the platform and the upstreams on loopback
// addresses, as a settings file lists them.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
)

// Limits of the weight store in the platform stand-in.
const (
	weightRate  = 2       // reads per second
	weightBurst = 4       // reads admitted at once
	weightBytes = 1 << 16 // size of one model's weights
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cli.Command{
		Name:  "standins",
		Usage: "stand-ins of the platform and the upstreams on loopback",
		Commands: []*cli.Command{
			callCommand(),
			{
				Name:  "run",
				Usage: "run the stand-ins that a settings file lists",
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name:     "settings",
						Usage:    "INI `FILE` that lists the stand-ins",
						Required: true,
					},
				},
				Action: serve,
			},
			{
				Name:  "layout",
				Usage: "write the settings files of a deployment and its entry hosts",
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name:     "deployment",
						Usage:    "`NAME`: franchise or roues",
						Required: true,
					},
					&cli.StringFlag{
						Name:     "dir",
						Usage:    "`DIRECTORY` for the files",
						Required: true,
					},
					&cli.IntFlag{
						Name:  "net",
						Usage: "second `NUMBER` of the loopback addresses",
						Value: 10,
					},
					&cli.IntFlag{
						Name:  "entries",
						Usage: "`NUMBER` of entry hosts",
						Value: 3,
					},
				},
				Action: layout,
			},
		},
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
	if address := settings.Platform["address"]; address != "" {
		components = append(components, standin.Component{
			Name:    "platform",
			Address: ident.Address(address),
			Serve:   servePlatform(settings),
		})
	}
	for _, upstream := range settings.Upstreams {
		components = append(components, upstream.Component())
	}
	return standin.Run(ctx, components, command.Root().Writer)
}

// servePlatform returns a function that serves the platform stand-in on a listener.
// Meanwhile the stand-in expires leases whose time is over.
func servePlatform(settings standin.Settings) func(context.Context, net.Listener) error {
	server := platform.New(platform.Config{
		Now:         time.Now,
		Hosts:       settings.Hosts(),
		WeightRate:  weightRate,
		WeightBurst: weightBurst,
		WeightBytes: weightBytes,
	})
	return func(ctx context.Context, listener net.Listener) error {
		ctx, stop := context.WithCancel(ctx)
		runDone := make(chan error, 1)
		go func(ctx context.Context) {
			runDone <- server.Run(ctx)
		}(ctx)
		err := standin.ServeHandler(server.Handler())(ctx, listener)
		stop()
		if runErr := <-runDone; err == nil && !errors.Is(runErr, context.Canceled) {
			err = runErr
		}
		return err
	}
}

func layout(_ context.Context, command *cli.Command) error {
	deployment, ok := standin.Deployments()[command.String("deployment")]
	if !ok {
		return errors.Errorf("deployment %q does not exist", command.String("deployment"))
	}
	return standin.Layout{
		Deployment: deployment,
		Net:        command.Int("net"),
		Entries:    command.Int("entries"),
	}.Write(command.String("dir"))
}
