package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/configcli"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, apply and show service documents",
		Commands: []*cli.Command{
			{
				Name:   "check",
				Usage:  "check a document file without applying it",
				Flags:  []cli.Flag{serviceFlag(), fileFlag()},
				Action: runCheck,
			},
			{
				Name:   "apply",
				Usage:  "propose a document that is based on a revision",
				Flags:  applyFlags(),
				Action: runApply,
			},
			{
				Name:  "show",
				Usage: "print a document",
				Flags: []cli.Flag{storeFlag(), serviceFlag(), &cli.Uint64Flag{
					Name:  "revision",
					Usage: "`REVISION`; the current one without it",
				}},
				Action: runShow,
			},
			{
				Name:   "history",
				Usage:  "list the kept revisions of a document",
				Flags:  []cli.Flag{storeFlag(), serviceFlag()},
				Action: runHistory,
			},
			{
				Name:  "diff",
				Usage: "print the lines that differ between two revisions",
				Flags: []cli.Flag{storeFlag(), serviceFlag(), &cli.Uint64Flag{
					Name:     "from",
					Usage:    "`REVISION`",
					Required: true,
				}, &cli.Uint64Flag{
					Name:  "to",
					Usage: "`REVISION`; the current one without it",
				}},
				Action: runDiff,
			},
		},
	}
}

func storeFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "store",
		Usage:    "`ADDRESS` (ip:port) of the key-value service",
		Required: true,
	}
}

func serviceFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "service",
		Usage:    "`NAME` of the service",
		Required: true,
	}
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "file",
		Usage:    "INI `FILE` with the document",
		Required: true,
	}
}

func applyFlags() []cli.Flag {
	return []cli.Flag{
		storeFlag(),
		serviceFlag(),
		fileFlag(),
		&cli.Uint64Flag{
			Name:     "base",
			Usage:    "`REVISION` that the document was derived from; 0 creates it",
			Required: true,
		},
		&cli.StringFlag{
			Name:     "team",
			Usage:    "`NAME` of the author's team",
			Required: true,
		},
		&cli.StringFlag{
			Name:     "author",
			Usage:    "`NAME` of the author",
			Required: true,
		},
		&cli.StringFlag{
			Name:  "change",
			Usage: "`ID` of a change whose answer was lost, to learn whether it was accepted",
		},
	}
}

func runCheck(_ context.Context, command *cli.Command) error {
	text, err := os.ReadFile(command.String("file"))
	if err != nil {
		return errors.Annotate(err, "read document")
	}
	return configcli.Check(command.Root().Writer, serviceName(command), text)
}

func runApply(ctx context.Context, command *cli.Command) error {
	text, err := os.ReadFile(command.String("file"))
	if err != nil {
		return errors.Annotate(err, "read document")
	}
	now := time.Now()
	id := command.String("change")
	if id == "" {
		id = fmt.Sprintf("%s-%d-%d", command.String("author"), os.Getpid(), now.UnixNano())
	}
	return configcli.Apply(ctx, newStore(command), command.Root().Writer, document.Change{
		Service: serviceName(command),
		ID:      ident.ChangeID(id),
		Base:    ident.Revision(command.Uint64("base")),
		Team:    ident.TeamName(command.String("team")),
		Author:  command.String("author"),
		Time:    now,
		Text:    text,
	})
}

func runShow(ctx context.Context, command *cli.Command) error {
	return configcli.Show(ctx, newStore(command), command.Root().Writer, serviceName(command), ident.Revision(command.Uint64("revision")))
}

func runHistory(ctx context.Context, command *cli.Command) error {
	return configcli.History(ctx, newStore(command), command.Root().Writer, serviceName(command))
}

func runDiff(ctx context.Context, command *cli.Command) error {
	return configcli.Diff(ctx, newStore(command), command.Root().Writer, serviceName(command),
		ident.Revision(command.Uint64("from")), ident.Revision(command.Uint64("to")))
}

func serviceName(command *cli.Command) ident.ServiceName {
	return ident.ServiceName(command.String("service"))
}
