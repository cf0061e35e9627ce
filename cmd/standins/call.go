package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

const callTimeout = 30 * time.Second

// callCommand sends one request as a caller would, so that scripts need no other HTTP
// client.
func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "send one request and print the request id, status and answer",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "url",
				Usage:    "`URL`",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "method",
				Usage: "HTTP `METHOD`",
				Value: http.MethodGet,
			},
			&cli.StringFlag{
				Name:  "organisation",
				Usage: "`NAME` for the header X-Organisation",
			},
			&cli.StringFlag{
				Name:  "body",
				Usage: "`JSON`",
			},
		},
		Action: call,
	}
}

func call(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, command.String("method"), command.String("url"), strings.NewReader(command.String("body")))
	if err != nil {
		return errors.Annotate(err, "build request")
	}
	request.Header.Set("X-Organisation", command.String("organisation"))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotate(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Annotate(err, "read response")
	}
	_, err = fmt.Fprintf(command.Root().Writer, "%s %d %s\n", response.Header.Get("X-Request-Id"), response.StatusCode, body)
	return err
}
