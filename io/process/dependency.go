package process

import (
	"sync"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/status"

	"github.com/hashicorp/go-hclog"
)

// Dependency logs when calls to a peer start to fail and when they succeed
// again, once each. It is safe for concurrent use.
type Dependency struct {
	name   string
	log    hclog.Logger
	mu     sync.Mutex
	lostAt time.Time
	// reason is the text of the first error since lostAt.
	reason string
}

// NewDependency returns a Dependency for the named peer, which is taken to be
// reachable.
func NewDependency(name string, l hclog.Logger) *Dependency { return &Dependency{name: name, log: l} }

// Observe records the outcome of a call to the peer.
func (d *Dependency) Observe(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && d.lostAt.IsZero():
		d.lostAt, d.reason = time.Now(), err.Error()
		event.DependencyLost.Emit(d.log, event.Dependency(d.name), event.Reason(status.Code(err.Error())))
	case err == nil && !d.lostAt.IsZero():
		event.DependencyRegained.Emit(d.log, event.Dependency(d.name), event.Elapsed(time.Since(d.lostAt)))
		d.lostAt, d.reason = time.Time{}, ""
	}
}

// Reason returns the text of the error with which the calls to the peer began to fail,
// or "" while they succeed.
func (d *Dependency) Reason() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reason
}
