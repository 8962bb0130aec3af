package scheduler

import (
	"context"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// configurationWatchWait is the longest wait of a watch of the configuration. A watch
// on a connection that went silent is abandoned after this wait and readTimeout,
// before a new configuration has to be in force. One watch at a time reads the
// configuration, since one of 1,500 queues takes seconds on a slow link.
const configurationWatchWait = 600 * time.Millisecond

// followConfiguration keeps the configuration up to date until ctx ends.
func (m *mirror) followConfiguration(ctx context.Context) error {
	r := configurationReader{mirror: m}
	for ctx.Err() == nil {
		if err := r.update(ctx, configurationWatchWait); err != nil {
			// The metric of calls to the store counts the failure, and the mirror
			// logs an outage.
			process.Pause(ctx, readRetryPause, nil)
		}
	}
	return nil
}

// configurationReader reads the configuration from the store. It belongs to one
// goroutine.
type configurationReader struct {
	mirror *mirror
	// revision is that of the newest configuration read, or of the store when it
	// was read, or 0. It does not advance with the store, since a watch hears
	// nothing for a moment while the store compacts its history.
	revision int64
}

// update waits up to wait for a new configuration and brings it into force. It
// reads the configuration if none is known or if the store has dropped its history.
func (r *configurationReader) update(ctx context.Context, wait time.Duration) error {
	if r.revision == 0 {
		return r.read(ctx)
	}
	var c platform.Changes
	err := readLarge(ctx, wait, func(ctx context.Context) (err error) {
		c, err = r.mirror.store.Watch(ctx, platform.ConfigurationKey, r.revision, wait)
		return err
	})
	if errors.Is(err, platform.ErrCompacted) {
		return r.read(ctx)
	}
	if err == nil {
		r.apply(ctx, c.Items)
	}
	return err
}

func (r *configurationReader) read(ctx context.Context) error {
	var p platform.Page
	err := readLarge(ctx, 0, func(ctx context.Context) (err error) {
		p, err = r.mirror.store.List(ctx, platform.ConfigurationKey, "")
		return err
	})
	if err != nil {
		return err
	}
	r.apply(ctx, p.Items)
	r.revision = max(r.revision, p.Revision)
	return nil
}

// apply brings the configuration among items into force.
func (r *configurationReader) apply(ctx context.Context, items []platform.Item) {
	for _, i := range items {
		if i.Key != platform.ConfigurationKey || i.Removed {
			continue
		}
		r.mirror.setConfiguration(ctx, i.Value)
		r.revision = max(r.revision, i.Revision)
	}
}

// setConfiguration decodes a configuration and brings it into force, unless the
// one in force has the same or a higher version.
func (m *mirror) setConfiguration(ctx context.Context, value []byte) {
	c, err := platform.DecodeConfiguration(value)
	if err != nil {
		event.MessageRefused.Emit(m.log, event.Dependency("operator"), event.Reason(status.Code(err.Error())))
		return
	}
	for {
		old := m.cfg.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if m.cfg.CompareAndSwap(old, c) {
			break
		}
	}
	event.ConfigurationInForce.Emit(m.log, event.Revision(c.Version), event.Count(len(c.Queues)))
	select {
	case m.changes <- change{}:
	case <-ctx.Done():
	}
}
