package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/entry"
	"github.com/nutmegshift/nutmegshift/internal/load"
	"github.com/nutmegshift/nutmegshift/internal/operator"
)

// largeShare is the share of all requests that the first organisation sends.
const largeShare = 0.6

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send chat requests at a fixed rate and print attainment and cost by stage",
		Flags: []cli.Flag{
			hostsFlag(),
			&cli.StringSliceFlag{
				Name:     "callers",
				Usage:    "`ADDRESSES` (ip:port) of the entry hosts for callers",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "service",
				Usage:    "`NAME` of a pipeline service",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "path",
				Usage: "`PATH` of the chat route",
				Value: "/v1/chat/completions",
			},
			&cli.StringSliceFlag{
				Name:  "organisations",
				Usage: "`NAMES`; the first sends 60% of the requests",
				Value: []string{"large", "small-1", "small-2", "small-3", "small-4"},
			},
			&cli.FloatFlag{
				Name:  "rate",
				Usage: "`NUMBER` of requests a second",
				Value: 20,
			},
			&cli.DurationFlag{
				Name:  "duration",
				Usage: "`TIME` in which requests arrive",
				Value: 10 * time.Second,
			},
			&cli.DurationFlag{
				Name:  "deadline",
				Usage: "longest `TIME` of an answer that counts as attained",
				Value: 12 * time.Second,
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "`NUMBER` that determines arrivals and organisations",
				Value: 1,
			},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	before, err := readCosts(ctx, command)
	if err != nil {
		return err
	}
	var targets []ident.Address
	for _, address := range command.StringSlice("callers") {
		targets = append(targets, ident.Address(address))
	}
	names := command.StringSlice("organisations")
	others := make([]ident.OrganisationID, 0, len(names))
	for _, name := range names[1:] {
		others = append(others, ident.OrganisationID(name))
	}
	path := "/" + command.String("service") + command.String("path")
	generator, err := load.New(load.Config{
		Targets:       targets,
		Rate:          command.Float("rate"),
		Duration:      command.Duration("duration"),
		Seed:          command.Uint64("seed"),
		Organisations: load.SkewedShares(largeShare, ident.OrganisationID(names[0]), others...),
		Deadline:      command.Duration("deadline"),
		Build: func(number int, organisation ident.OrganisationID) load.Request {
			return chatRequest(path, number, organisation)
		},
		Check: func(load.Request, load.Response) error { return nil },
	})
	if err != nil {
		return err
	}
	report := generator.Run(ctx)
	out := command.Root().Writer
	if err := report.Print(out); err != nil {
		return errors.Annotate(err, "print report")
	}
	after, err := readCosts(ctx, command)
	if err != nil {
		return err
	}
	return printCosts(out, command.String("service"), before, after)
}

func chatRequest(path string, number int, organisation ident.OrganisationID) load.Request {
	body := fmt.Sprintf(`{"stream":true,"messages":[{"role":"user","content":"load request %d"}]}`, number)
	return load.Request{
		Number:       number,
		Organisation: organisation,
		Method:       http.MethodPost,
		Path:         path,
		Headers: []load.Header{
			{
				Name:  "X-Organisation",
				Value: string(organisation),
			},
		},
		Body:   []byte(body),
		Stream: true,
	}
}

type stageID struct {
	service ident.ServiceName
	stage   ident.StageName
}

// readCosts reads the cost of each stage from all entry hosts and adds them up.
func readCosts(ctx context.Context, command *cli.Command) (map[stageID]entry.StageCost, error) {
	targets, err := entryHosts(ctx, command)
	if err != nil {
		return nil, err
	}
	total := make(map[stageID]entry.StageCost)
	for _, result := range operator.Status(ctx, newClient(), targets) {
		if result.Err != nil {
			return nil, errors.Annotate(result.Err, "read costs")
		}
		var status entry.Status
		if err := json.Unmarshal(result.Value, &status); err != nil {
			return nil, errors.Annotate(err, "decode status")
		}
		for _, cost := range status.Costs {
			id := stageID{
				service: cost.Service,
				stage:   cost.Stage,
			}
			total[id] = addCost(total[id], cost, 1)
		}
	}
	return total, nil
}

// printCosts prints what each stage of a service cost between before and after.
func printCosts(out io.Writer, service string, before, after map[stageID]entry.StageCost) error {
	var lines []string
	for id, cost := range after {
		if id.service != ident.ServiceName(service) {
			continue
		}
		used := addCost(cost, before[id], -1)
		lines = append(lines, fmt.Sprintf("stage %-10s attempts %d, crossed %d, wasted %d, seconds %.2f, price %.2f\n",
			id.stage, used.Attempts, used.Crossed, used.Wasted, used.Seconds, used.Price))
	}
	slices.Sort(lines)
	_, err := io.WriteString(out, strings.Join(lines, ""))
	return errors.Annotate(err, "print costs")
}

// addCost returns a + sign*b.
func addCost(a, b entry.StageCost, sign int) entry.StageCost {
	a.Attempts += uint64(sign) * b.Attempts
	a.Crossed += uint64(sign) * b.Crossed
	a.Wasted += uint64(sign) * b.Wasted
	a.Seconds += float64(sign) * b.Seconds
	a.Price += float64(sign) * b.Price
	return a
}
