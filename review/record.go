//go:build review

package review

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recordName is the name of the file that a case writes into its folder.
const recordName = "record.txt"

// Record is the log of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	started time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// NewRecord creates the log in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, recordName))
	if err != nil {
		return nil, err
	}
	return &Record{
		started: time.Now(),
		file:    file,
		writer:  bufio.NewWriter(file),
	}, nil
}

// Printf adds a line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes the log to disk.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
