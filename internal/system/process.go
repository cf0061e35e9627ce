package system

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// programs is the directory of the programs under test, set before the tests run.
var programs string

const (
	// patience bounds the wait for an event that takes a few seconds at most;
	// it allows for a busy machine.
	patience = 20 * time.Second
	pollTime = 10 * time.Millisecond
)

// output collects what a process prints.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// line returns the first line that contains the text, or "".
func (o *output) line(text string) string {
	for line := range strings.Lines(o.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// count returns the number of lines that contain the text.
func (o *output) count(text string) int {
	n := 0
	for line := range strings.Lines(o.String()) {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// process is one program under test.
type process struct {
	name    string
	command *exec.Cmd
	output  *output
	ended   chan struct{} // closed once code is set
	code    int
}

// launch starts a program and ends it with the test.
func launch(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{
		name:    program + " " + strings.Join(args, " "),
		command: exec.CommandContext(context.Background(), filepath.Join(programs, program), args...),
		output:  &output{},
		ended:   make(chan struct{}),
	}
	// The race detector delays each exit by a second unless it is told not to.
	p.command.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	p.command.Stdout = p.output
	p.command.Stderr = p.output
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", p.name, err)
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
		p.code = p.command.ProcessState.ExitCode()
	}()
	t.Cleanup(func() {
		if !p.over() {
			_ = p.command.Process.Kill()
			<-p.ended
		}
		if strings.Contains(p.output.String(), "DATA RACE") {
			t.Errorf("data race in %s", p.name)
		}
		if t.Failed() {
			t.Logf("output of %s:\n%s", p.name, p.output)
		}
	})
	return p
}

func (p *process) over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Errorf("send %v to %s: %v", s, p.name, err)
	}
}

// exit waits for the end of the process and returns its exit code.
func (p *process) exit(t *testing.T) int {
	t.Helper()
	await(t, "end of "+p.name, p.over)
	return p.code
}

// kill ends the process at once.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	p.exit(t)
}

// freeze stops the process and returns once it no longer runs.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	await(t, "stop of "+p.name, func() bool { return p.state() == "T" })
}

// state returns the letter of the process's state, empty if it has ended.
func (p *process) state() string {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/stat")
	if err != nil {
		return ""
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	letter, _, _ := strings.Cut(state, " ")
	return letter
}

func (p *process) thaw(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGCONT)
}

// await polls until the condition holds; only the test's own goroutine calls it.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("no %s within %v", what, patience)
		}
		time.Sleep(pollTime)
	}
}
