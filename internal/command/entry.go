package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/internal/entry"
	"github.com/nutmegshift/nutmegshift/internal/settings"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run the daemon of an entry host",
		Description: "The settings file is INI:\n\n" + settings.Help(),
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "settings `FILE`",
				Required: true,
			},
		},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, command *cli.Command) error {
	name := command.String("settings")
	content, err := os.ReadFile(name)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	parsed, err := settings.Parse(name, content)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(parsed.Level)
	if err != nil {
		return errors.Annotate(err, "parse log level")
	}
	log := zerolog.New(command.Root().ErrWriter).Level(level).With().Timestamp().Str("host", string(parsed.Host)).Logger()
	limitHeap(parsed.Memory)
	stopping, force, release := stopSignals(ctx)
	defer release()
	return entry.New(parsed, log).Run(stopping, force)
}

// stopSignals returns a context that is canceled at the first SIGTERM or SIGINT
// and one that is canceled at the second. release stops the signal handling and
// cancels both.
func stopSignals(ctx context.Context) (stopping, force context.Context, release func()) {
	stopping, cancelStopping := context.WithCancel(ctx)
	force, cancelForce := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func(ctx context.Context) {
		defer close(done)
		for _, cancel := range []context.CancelFunc{cancelStopping, cancelForce} {
			select {
			case <-signals:
				cancel()
			case <-ctx.Done():
				return
			}
		}
	}(force)
	return stopping, force, func() {
		signal.Stop(signals)
		cancelStopping()
		cancelForce()
		<-done
	}
}
