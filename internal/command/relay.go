package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/internal/relay/host"
	"github.com/nutmegshift/nutmegshift/internal/relay/logging"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/platform"
)

const megabyte = 1 << 20

// heapShare is the part of the memory of a host up to which the runtime lets garbage
// accumulate; the rest is left for what it does not count.
const heapShare = 0.6

// limitHeap bounds the garbage of a process with the given megabytes of memory.
func limitHeap(memory float64) {
	debug.SetMemoryLimit(int64(heapShare * memory * megabyte))
}

func relayCommand() *cli.Command {
	return &cli.Command{
		Name:        "relay",
		Usage:       "run the daemon of a host that forwards requests by the operators' routing table",
		Description: "The settings file is INI:\n\n" + settings.RelayHelp(),
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "settings `FILE`",
				Sources:  cli.EnvVars(platform.SettingsVariable),
				Required: true,
			},
		},
		Action: runRelay,
	}
}

func runRelay(ctx context.Context, command *cli.Command) error {
	// Handles signals before the settings are read: until then, the default action
	// of a signal ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	stopping, _, release := stopSignals(ctx)
	defer release()
	name := command.String("settings")
	content, err := os.ReadFile(name)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	parsed, err := settings.ParseRelay(name, content)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(parsed.Level)
	if err != nil {
		return errors.Annotate(err, "parse log level")
	}
	limitHeap(parsed.Memory)
	log := logging.New(command.Root().Writer, level, parsed.LogRate)
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	settingsReloader := newReloader(name, content, hangups, log)
	finished := make(chan error, 2)
	go func(ctx context.Context) { finished <- settingsReloader.run(ctx) }(background)
	go func(ctx context.Context) { finished <- log.Report(ctx) }(background)
	err = host.New(parsed, host.Platform{
		Codec:     platform.Codec{},
		Keys:      platform.Keys,
		Store:     platform.Store{},
		ReadyPath: platform.ReadyPath,
	}, log).Run(stopping)
	stopBackground()
	for range cap(finished) {
		if runErr := <-finished; err == nil {
			err = runErr
		}
	}
	// An output that nobody reads is no failure of the host.
	if closeErr := log.Close(); err == nil && !errors.Is(closeErr, logging.ErrBlocked) {
		err = errors.Annotate(closeErr, "close log")
	}
	return err
}
