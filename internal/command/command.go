package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Run runs the command given by args, which start with the program name, and
// returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:      "nutmegshift",
		Usage:     "serve multi-stage model pipelines",
		Writer:    out,
		ErrWriter: errOut,
		Commands: []*cli.Command{
			entryCommand(),
			relayCommand(),
			configCommand(),
			tableCommand(),
			orderCommand(),
			statusCommand(),
			timelineCommand(),
			loadCommand(),
		},
	}
	if err := root.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(errOut, "nutmegshift:", err)
		return 1
	}
	return 0
}
