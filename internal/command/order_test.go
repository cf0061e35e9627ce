package command_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/command"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
)

// Guards against a declaration that is lost, merged with an earlier one, or printed
// as declared although it was not.
func TestOrder(t *testing.T) {
	steps := []struct {
		args []string
		code int
		out  string
		err  string
	}{
		{args: []string{"show"}},
		{args: []string{"show", "--engines", "a"}, code: 1, err: "key not found"},
		{args: []string{"set", "--engines", "a"}, code: 1, err: `"models, role" not set`},
		{args: []string{"set", "--engines", "a/b", "--models", "m", "--role", ""}, code: 1, err: "not the name of an engine"},
		{
			args: []string{"set", "--engines", "a,b", "--models", "m,n", "--role", "decode"},
			out:  "a: version 1, role \"decode\", models m,n\nb: version 2, role \"decode\", models m,n\n",
		},
		{
			args: []string{"set", "--engines", "a", "--models", "", "--role", ""},
			out:  "a: version 3, role \"\", models \n",
		},
		{
			args: []string{"show"},
			out:  "a: version 3, role \"\", models \nb: version 2, role \"decode\", models m,n\n",
		},
		{args: []string{"show", "--engines", "b"}, out: "b: version 2, role \"decode\", models m,n\n"},
	}
	server := platform.New(platform.Config{
		Now: time.Now,
	})
	store := httptest.NewServer(server.Handler())
	defer store.Close()
	for _, step := range steps {
		t.Run(strings.Join(step.args, " "), func(t *testing.T) {
			c := qt.New(t)
			var out, errOut bytes.Buffer
			args := append([]string{"nutmegshift", "order", step.args[0], "--store", strings.TrimPrefix(store.URL, "http://")}, step.args[1:]...)
			code := command.Run(context.Background(), args, &out, &errOut)
			c.Assert(code, qt.Equals, step.code, qt.Commentf("%s", errOut.String()))
			if code == 0 {
				c.Assert(out.String(), qt.Equals, step.out)
			}
			c.Assert(errOut.String(), qt.Contains, step.err)
		})
	}
}
