package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens in a case to a file, one line an event.
type recorder struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	fi, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begun: time.Now(), file: fi, out: bufio.NewWriter(fi)}, nil
}

// add writes a line: the seconds since the begin, the kind of event, and its text.
func (re *recorder) add(kind, format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.out, "%8.3f s  %-8s %s\n", time.Since(re.begun).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (re *recorder) close() {
	re.mu.Lock()
	defer re.mu.Unlock()
	_ = re.out.Flush()
	_ = re.file.Close()
}
