// Command measure runs load scenarios against the serving code and against a plain
// baseline and prints both results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/internal/measure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	flags := []cli.Flag{
		&cli.StringFlag{
			Name:  "deployment",
			Usage: "`NAME`: franchise or roues",
			Value: "franchise",
		},
		&cli.Uint64Flag{
			Name:  "seed",
			Usage: "`NUMBER` that determines the load",
			Value: 1,
		},
		&cli.StringFlag{
			Name:  "documents",
			Usage: "`DIRECTORY` of the service documents",
			Value: "examples",
		},
		&cli.IntFlag{
			Name:  "net",
			Usage: "second `NUMBER` of the loopback addresses 127.NUMBER.0.0/16",
			Value: 90,
		},
	}
	for _, s := range measure.Scenarios() {
		flags = append(flags, &cli.BoolFlag{
			Name:  s.Name,
			Usage: s.Usage,
		})
	}
	command := &cli.Command{
		Name:   "measure",
		Usage:  "run a scenario with the baseline and the serving code and print both",
		Flags:  flags,
		Action: run,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	deployment, ok := measure.Deployments()[command.String("deployment")]
	if !ok {
		return fmt.Errorf("deployment %q is not known", command.String("deployment"))
	}
	ran := false
	for _, s := range measure.Scenarios() {
		if !command.Bool(s.Name) {
			continue
		}
		ran = true
		m, err := measure.Run(ctx, measure.Options{
			Scenario:   s,
			Deployment: deployment,
			Documents:  command.String("documents"),
			Net:        command.Int("net"),
			Seed:       command.Uint64("seed"),
		})
		if err != nil {
			return err
		}
		if err := m.Print(command.Root().Writer); err != nil {
			return err
		}
	}
	if !ran {
		return fmt.Errorf("no scenario given; --help lists them")
	}
	return nil
}
