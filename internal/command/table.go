package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/tablecheck"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
	"github.com/nutmegshift/nutmegshift/platform"
)

// storeTimeout limits the call that reads the table in force.
const storeTimeout = 5 * time.Second

// errTableInvalid is the result of a check that has found errors.
const errTableInvalid = errors.ConstError("the table has errors")

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "check routing tables of relays",
		Commands: []*cli.Command{
			{
				Name:  "check",
				Usage: "check a table before it is published: errors, entries that can never match, limits that contradict each other, differences from the one in force",
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name:     "file",
						Usage:    "JSON `FILE` with the table",
						Required: true,
					},
					&cli.StringFlag{
						Name:  "against",
						Usage: "JSON `FILE` with the table in force",
					},
					&cli.StringFlag{
						Name:  "store",
						Usage: "`ADDRESS` (ip:port) of the key-value service that has the table in force",
					},
				},
				Action: runTableCheck,
			},
		},
	}
}

func runTableCheck(ctx context.Context, command *cli.Command) error {
	table, err := readTable(command.String("file"))
	if err != nil {
		return err
	}
	inForce, err := tableInForce(ctx, command.String("against"), command.String("store"))
	if err != nil {
		return err
	}
	invalid := false
	for _, finding := range append(tablecheck.Check(table), tablecheck.Compare(inForce, table)...) {
		invalid = invalid || finding.Severity == tablecheck.Error
		if _, err := fmt.Fprintln(command.Root().Writer, finding); err != nil {
			return errors.Annotate(err, "print findings")
		}
	}
	if invalid {
		return errTableInvalid
	}
	_, err = fmt.Fprintf(command.Root().Writer, "version %d has no errors\n", table.Version)
	return errors.Annotate(err, "print result")
}

// tableInForce returns the table to compare with, from a file or from the store; nil if
// neither is named.
func tableInForce(ctx context.Context, file, store string) (*routes.Table, error) {
	switch {
	case file != "":
		return readTable(file)
	case store == "":
		return nil, nil
	}
	client := httpkv.New(httpkv.Config{
		Address:  ident.Address(store),
		Client:   http.DefaultClient,
		Limit:    storeTimeout,
		Protocol: platform.Store{},
	})
	entry, err := client.Get(ctx, platform.Keys.Table)
	if err != nil {
		return nil, errors.Annotate(err, "read table in force")
	}
	table, err := platform.Codec{}.Table(entry.Value)
	return table, errors.Annotate(err, "table in force")
}

func readTable(name string) (*routes.Table, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Annotate(err, "read table")
	}
	table, err := platform.Codec{}.Table(content)
	return table, errors.Annotatef(err, "%s", name)
}
