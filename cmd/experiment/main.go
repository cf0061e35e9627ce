// Command experiment runs emulated deployments and compares policies.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/internal/emulation/deployment"
	"github.com/nutmegshift/nutmegshift/internal/emulation/experiment"
	"github.com/nutmegshift/nutmegshift/internal/emulation/play"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := rootCommand(os.Stdout).Run(ctx, os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func rootCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:   "experiment",
		Usage:  "play emulated deployments and compare policies",
		Writer: out,
		Commands: []*cli.Command{
			runCommand(out),
			sweepCommand(out),
			listCommand(out),
		},
	}
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:  "deployment",
			Usage: "`NAME` of a deployment that comes with the program, or of an INI file",
			Value: "franchise",
		},
		&cli.StringSliceFlag{
			Name:  "set",
			Usage: "`SECTION.KEY=VALUE` to change, as in 'kind rules-chat.rate=20'; may be repeated",
		},
	}
}

// readDeployment returns the text of the deployment and the changes given by the flags.
func readDeployment(c *cli.Command) ([]byte, []deployment.Change, error) {
	name := c.String("deployment")
	text, err := deployment.Builtin(name)
	if strings.HasSuffix(name, ".ini") {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	var changes []deployment.Change
	for _, set := range c.StringSlice("set") {
		change, err := deployment.ParseChange(set)
		if err != nil {
			return nil, nil, err
		}
		changes = append(changes, change)
	}
	return text, changes, nil
}

func runCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "play one run and print what each kind of request got",
		Flags: append(
			commonFlags(),
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "`NUMBER` of the run",
			},
			&cli.StringFlag{
				Name:  "plot",
				Usage: "`FILE` (.svg or .png) for load, refusals and waiting requests over the run",
			},
		),
		Action: func(_ context.Context, c *cli.Command) error {
			text, changes, err := readDeployment(c)
			if err != nil {
				return err
			}
			d, err := deployment.Parse(c.String("deployment"), text, changes...)
			if err != nil {
				return err
			}
			report := play.Run(d, c.Uint64("seed"))
			if err := experiment.KindTable(out, report); err != nil {
				return err
			}
			if path := c.String("plot"); path != "" {
				return experiment.PlotRun(path, report)
			}
			return nil
		},
	}
}

func sweepCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "sweep",
		Usage: "play variants with several seeds, over the values of a setting, and print a table",
		Flags: append(
			commonFlags(),
			&cli.StringSliceFlag{
				Name:  "variant",
				Usage: "`NAME: CHANGES`, as in 'by host: policy.batching=host'; may be repeated",
				// The value is not split at commas: they separate the changes of a variant.
				Config: cli.StringConfig{},
			},
			&cli.StringFlag{
				Name:  "vary",
				Usage: "`SECTION.KEY=VALUE,VALUE` to play one after the other",
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "`NUMBER` of runs for each point",
				Value: 5,
			},
			&cli.IntFlag{
				Name:  "jobs",
				Usage: "`NUMBER` of runs at the same time",
				Value: max(1, runtime.NumCPU()/2),
			},
			&cli.StringFlag{
				Name:  "plot",
				Usage: "`FILE` (.svg or .png) for the worth over the values",
			},
		),
		DisableSliceFlagSeparator: true,
		Action: func(ctx context.Context, c *cli.Command) error {
			plan, err := readPlan(c)
			if err != nil {
				return err
			}
			points, err := plan.Run(ctx)
			if err != nil {
				return err
			}
			if err := experiment.Table(out, points); err != nil {
				return err
			}
			if path := c.String("plot"); path != "" && plan.Sweep != nil {
				return experiment.Plot(path, *plan.Sweep, points)
			}
			return nil
		},
	}
}

func readPlan(c *cli.Command) (experiment.Plan, error) {
	text, changes, err := readDeployment(c)
	if err != nil {
		return experiment.Plan{}, err
	}
	p := experiment.Plan{
		Name:    c.String("deployment"),
		Text:    text,
		Changes: changes,
		Seeds:   c.Int("seeds"),
		Workers: c.Int("jobs"),
	}
	for _, spec := range c.StringSlice("variant") {
		variant, err := experiment.ParseVariant(spec)
		if err != nil {
			return experiment.Plan{}, err
		}
		p.Variants = append(p.Variants, variant)
	}
	if spec := c.String("vary"); spec != "" {
		sweep, err := experiment.ParseSweep(spec)
		if err != nil {
			return experiment.Plan{}, err
		}
		p.Sweep = &sweep
	}
	return p, nil
}

func listCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     "list the deployments that come with the program, or print one",
		ArgsUsage: "[NAME]",
		Action: func(_ context.Context, c *cli.Command) error {
			if name := c.Args().First(); name != "" {
				text, err := deployment.Builtin(name)
				if err != nil {
					return err
				}
				_, err = out.Write(text)
				return errors.Trace(err)
			}
			names, err := deployment.Names()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(out, strings.Join(names, "\n"))
			return errors.Trace(err)
		},
	}
}
