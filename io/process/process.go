// Package process contains the process management that all programs of
// rosemarygap share: signals, groups of actors, logs, metrics and exit codes.
package process

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"rosemarygap/io/httpjson"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// NewLogger returns a logger that writes lines of the given level and above to
// w as JSON, and to the sinks that are registered with it.
func NewLogger(name, level string, w io.Writer) hclog.InterceptLogger {
	return hclog.NewInterceptLogger(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		Output:     w,
		JSONFormat: true,
		TimeFormat: time.RFC3339Nano,
	})
}

// AddActor adds f to g. The function f must return when its context ends.
func AddActor(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// AddSignals adds an actor to g that returns at SIGTERM or SIGINT.
func AddSignals(g *run.Group) {
	AddActor(g, func(ctx context.Context) error {
		AwaitStop(ctx)
		return nil
	})
}

// AwaitStop waits for SIGTERM or SIGINT and reports whether a signal arrived
// before ctx ended.
func AwaitStop(ctx context.Context) bool {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(c)
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}

// AddListener adds a server to g. When the group stops, the server has the
// given time to finish its requests.
func AddListener(g *run.Group, l *httpjson.Listener, timeout time.Duration) {
	stopped := make(chan error, 1)
	g.Add(func() error {
		if err := l.Serve(); err != nil {
			return err
		}
		return <-stopped
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		stopped <- l.Stop(ctx)
	})
}

// Exit codes of all programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitRefused  = 3
	ExitConflict = 4
	ExitTryLater = 5
)

// ErrUsage marks an error in the command line.
var ErrUsage = errors.New("usage")
