package system

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that is ended by a SIGHUP, which requests a reload of
// its settings, while it starts.
func TestReloadAtStart(t *testing.T) {
	c := qt.New(t)
	pipe := filepath.Join(t.TempDir(), "relay.ini")
	c.Assert(syscall.Mkfifo(pipe, 0o600), qt.IsNil)
	p := launch(t, "nutmegshift", "relay", "--settings", pipe)
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the process reads its settings
	c.Assert(err, qt.IsNil)
	p.signal(t, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	_, err = writer.WriteString("[host]\n")
	c.Assert(err, qt.IsNil)
	c.Assert(writer.Close(), qt.IsNil)
	c.Check(p.exit(t), qt.Equals, 1)
	c.Check(p.output.line("settings are invalid"), qt.Not(qt.Equals), "")
}
