package standin

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against settings that are silently ignored.
func TestParse(t *testing.T) {
	const valid = "[platform]\naddress = 127.0.0.1:1\n[upstream e]\nkind = engine\naddress = 127.0.0.1:2\n"
	tests := map[string]struct {
		text string
		want string // pattern of the error; empty if valid
	}{
		"valid":           {text: valid},
		"unknown key":     {text: valid + "speed = 1\n", want: `.*\[upstream e\] speed: unknown key`},
		"wrong number":    {text: valid + "slots = x\n", want: ".*slots.*"},
		"wrong kind":      {text: valid + "[upstream f]\nkind = x\naddress = 127.0.0.1:3\n", want: `.*kind: "x".*`},
		"not loopback":    {text: "[upstream f]\nkind = plain\naddress = 10.0.0.1:3\n", want: ".*not a loopback.*"},
		"unknown section": {text: "[other]\n", want: ".*unknown section"},
		"wrong fencing":   {text: valid + "fencing = x\n", want: ".*neither check nor ignore"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settings, err := Parse([]byte(test.text))
			if test.want != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.want)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, settings.Platform["address"], qt.Equals, "127.0.0.1:1")
			qt.Assert(t, settings.Upstreams, qt.HasLen, 1)
			qt.Assert(t, settings.Upstreams[0].Name, qt.Equals, ident.UpstreamID("e"))
		})
	}
}

// Guards against a failed start that leaves some stand-ins running, and against
// a normal stop that is reported as an error.
func TestRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	started := make(chan struct{}, 2)
	component := func(name string) Component {
		return Component{
			Name:    name,
			Address: "127.0.0.1:0",
			Serve: func(ctx context.Context, listener net.Listener) error {
				started <- struct{}{}
				return ServeHandler(http.NotFoundHandler())(ctx, listener)
			},
		}
	}
	var out bytes.Buffer
	done := make(chan error, 1)
	go func() { done <- Run(ctx, []Component{component("a"), component("b")}, &out) }()
	<-started
	<-started
	cancel()
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "standins: 2 components listen\n")

	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	taken := component("taken")
	taken.Address = ident.Address(listener.Addr().String())
	err = Run(t.Context(), []Component{component("a"), taken}, &out)
	qt.Assert(t, err, qt.ErrorMatches, "listen as taken: .*")
}
