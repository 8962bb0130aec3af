package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"rosemarygap/core/event"
	"rosemarygap/core/status"

	"github.com/hashicorp/go-hclog"
)

// Actor is a function that runs until its context ends.
type Actor func(ctx context.Context) error

// Reloader returns an actor that calls read at each SIGHUP and logs the result.
// If read fails, the settings that it read before stay in force.
func Reloader(l hclog.Logger, read func() error) Actor {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return func(ctx context.Context) error {
		defer signal.Stop(c)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-c:
				reason := ""
				if err := read(); err != nil {
					reason = err.Error()
				}
				event.SettingsReloaded.Emit(l, event.Reason(status.Code(reason)))
			}
		}
	}
}
