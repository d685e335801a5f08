package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is what a case writes to record.txt: what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

// note writes one line with the time since the start, to the record and to standard output.
func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() { _ = r.file.Close() }
