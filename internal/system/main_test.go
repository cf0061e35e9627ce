package system

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "nutmegshift-system-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create a directory for the programs:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.CommandContext(context.Background(), "go", "build", "-race", "-o", directory+string(filepath.Separator), "./cmd/nutmegshift", "./cmd/standins")
	build.Dir = filepath.Join("..", "..")
	if printed, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, printed)
		return 1
	}
	programDir = directory
	if code := m.Run(); code != 0 {
		return code
	}
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, "goroutines outlive the tests:", err)
		return 1
	}
	return 0
}
