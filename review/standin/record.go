package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since the
// start of the script in seconds.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	begun time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{f: f, w: bufio.NewWriter(f), begun: time.Now()}, nil
}

// since returns the time of t in seconds since the start of the script.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.begun).Seconds() }

// printf writes one line.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}
