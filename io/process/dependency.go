package process

import (
	"sync"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/status"

	"github.com/hashicorp/go-hclog"
)

// Dependency logs when a peer is lost and when it is regained, once each. It
// is safe for concurrent use.
type Dependency struct {
	name string
	log  hclog.Logger
	mu   sync.Mutex
	lost time.Time
}

// NewDependency returns a record of the named peer, which counts as there.
func NewDependency(name string, l hclog.Logger) *Dependency { return &Dependency{name: name, log: l} }

// Observe takes in the outcome of a call to the peer.
func (d *Dependency) Observe(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && d.lost.IsZero():
		d.lost = time.Now()
		event.DependencyLost.Emit(d.log, event.Dependency(d.name), event.Reason(status.Code(err.Error())))
	case err == nil && !d.lost.IsZero():
		event.DependencyRegained.Emit(d.log, event.Dependency(d.name), event.Elapsed(time.Since(d.lost)))
		d.lost = time.Time{}
	}
}
