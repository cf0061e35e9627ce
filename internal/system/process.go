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

// programDir is the directory of the programs under test, set before the tests run.
var programDir string

const (
	// waitTimeout bounds the wait for an event that takes a few seconds at most,
	// with a reserve for a busy machine.
	waitTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// output collects the output of a process. It is safe for concurrent use.
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

// countLines returns the number of lines that contain the text.
func (o *output) countLines(text string) int {
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
	name     string
	command  *exec.Cmd
	output   *output
	exited   chan struct{} // closed once the process has exited and exitCode is set
	exitCode int
}

// launch starts a program, which is killed at the end of the test if it still
// runs. A data race that it reports fails the test.
func launch(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{
		name:    program + " " + strings.Join(args, " "),
		command: exec.CommandContext(context.Background(), filepath.Join(programDir, program), args...),
		output:  &output{},
		exited:  make(chan struct{}),
	}
	// The race detector delays each exit by a second unless it is told not to.
	p.command.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	p.command.Stdout = p.output
	p.command.Stderr = p.output
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", p.name, err)
	}
	go func() {
		defer close(p.exited)
		_ = p.command.Wait()
		p.exitCode = p.command.ProcessState.ExitCode()
	}()
	t.Cleanup(func() {
		if !p.hasExited() {
			_ = p.command.Process.Kill()
			<-p.exited
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

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
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

// exit waits until the process has exited and returns its exit code.
func (p *process) exit(t *testing.T) int {
	t.Helper()
	await(t, "end of "+p.name, p.hasExited)
	return p.exitCode
}

// kill kills the process and waits until it has exited.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	p.exit(t)
}

// freeze suspends the process and returns once it is suspended.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	await(t, "suspension of "+p.name, func() bool { return p.state() == "T" })
}

// state returns the letter of the process's state in /proc, empty if it has exited.
func (p *process) state() string {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/stat")
	if err != nil {
		return ""
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	letter, _, _ := strings.Cut(state, " ")
	return letter
}

// thaw resumes a frozen process.
func (p *process) thaw(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGCONT)
}

// await polls until the condition holds and fails the test after waitTimeout. It
// must be called from the test's own goroutine.
func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within %v", description, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}
