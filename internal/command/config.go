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
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, apply and show service documents",
		Commands: []*cli.Command{
			{
				Name:   "apply",
				Usage:  "propose a document that is based on a revision",
				Flags:  applyFlags(),
				Action: runApply,
			},
		},
	}
}

func applyFlags() []cli.Flag {
	return []cli.Flag{
		storeFlag(),
		&cli.StringFlag{
			Name:     "service",
			Usage:    "`NAME` of the service",
			Required: true,
		},
		&cli.StringFlag{
			Name:     "file",
			Usage:    "INI `FILE` with the document",
			Required: true,
		},
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
	}
}

func runApply(ctx context.Context, command *cli.Command) error {
	text, err := os.ReadFile(command.String("file"))
	if err != nil {
		return errors.Annotate(err, "read document")
	}
	store := newStore(command)
	now := time.Now()
	accepted, err := document.Apply(ctx, store, document.Change{
		Service: ident.ServiceName(command.String("service")),
		ID:      ident.ChangeID(fmt.Sprintf("%s-%d-%d", command.String("author"), os.Getpid(), now.UnixNano())),
		Base:    ident.Revision(command.Uint64("base")),
		Team:    ident.TeamName(command.String("team")),
		Author:  command.String("author"),
		Time:    now,
		Text:    text,
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.Root().Writer, "%s: revision %d accepted\n", command.String("service"), accepted.Revision)
	return err
}
