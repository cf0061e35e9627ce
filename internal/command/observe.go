package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/operator"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// requestTimeout bounds one HTTP request to the host list, to the operators' port of
// an entry host or to the store.
const requestTimeout = 3 * time.Second

// errIncomplete makes a command exit with 1 if an entry host did not respond.
const errIncomplete = errors.ConstError("some entry hosts did not answer")

func hostsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "hosts",
		Usage:    "`ADDRESS` (ip:port) of the host list",
		Required: true,
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the status of every entry host as JSON lines",
		Flags: []cli.Flag{
			hostsFlag(),
		},
		Action: runStatus,
	}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "print the events of a request from every entry host in one order",
		Flags: []cli.Flag{
			hostsFlag(),
			&cli.StringFlag{
				Name:  "request",
				Usage: "`ID` of the request; all events without it",
			},
		},
		Action: runTimeline,
	}
}

func runStatus(ctx context.Context, command *cli.Command) error {
	targets, err := entryHosts(ctx, command)
	if err != nil {
		return err
	}
	incomplete := false
	for _, result := range operator.Status(ctx, newClient(), targets) {
		if result.Err != nil {
			incomplete = true
			_, _ = fmt.Fprintln(command.Root().ErrWriter, "status:", result.Err)
			continue
		}
		_, _ = fmt.Fprintln(command.Root().Writer, string(result.Value))
	}
	if incomplete {
		return errIncomplete
	}
	return nil
}

func runTimeline(ctx context.Context, command *cli.Command) error {
	targets, err := entryHosts(ctx, command)
	if err != nil {
		return err
	}
	var lists [][]timeline.Event
	incomplete := false
	for _, result := range operator.Events(ctx, newClient(), targets, ident.RequestID(command.String("request"))) {
		if result.Err != nil {
			incomplete = true
			_, _ = fmt.Fprintln(command.Root().ErrWriter, "timeline:", result.Err)
			continue
		}
		lists = append(lists, result.Value)
	}
	for _, event := range timeline.Merge(lists...) {
		_, _ = fmt.Fprintln(command.Root().Writer, operator.Format(event))
	}
	if incomplete {
		return errIncomplete
	}
	return nil
}

// entryHosts reads the addresses of the operators' ports of all entry hosts from the
// host list.
func entryHosts(ctx context.Context, command *cli.Command) ([]operator.Target, error) {
	list, err := hostlist.New(ident.Address(command.String("hosts")), newClient()).Fetch(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "read host list")
	}
	var targets []operator.Target
	for _, host := range list.Hosts {
		if host.Kind == hostlist.EntryHost {
			targets = append(targets, operator.Target{
				Host:    ident.HostID(host.Name),
				Address: host.Operator,
			})
		}
	}
	return targets, nil
}

func newClient() *http.Client {
	return &http.Client{
		Timeout: requestTimeout,
	}
}
