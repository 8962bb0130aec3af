package entry

import (
	"context"
	"time"

	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// reading is the state of the readings of the members that decide on callers'
// ids. They follow the registration and do not hold it up.
type reading struct {
	busy bool
	// due is true while a registration waits for its reading; began is when
	// its latest step began, and joined tells whether it was made anew.
	due    bool
	began  time.Time
	joined bool
}

// registered notes a step of the registration.
func (r *reading) registered(began time.Time, joined bool) {
	r.due = true
	r.began = began
	r.joined = r.joined || joined
}

// membersRead is the result of a reading that followed a step at began. If
// another entry was faster it is made again at once, and after any other
// failure with the next step of the registration.
type membersRead struct {
	began time.Time
	err   error
}

func (c *control) tickReading(ctx context.Context) {
	r := &c.reading
	if r.busy || !r.due || c.stopping {
		return
	}
	began, joined := r.began, r.joined
	*r = reading{busy: true}
	c.start(ctx, func(ctx context.Context) message {
		return membersRead{began, c.claims.RefreshMembers(ctx, began, joined)}
	})
}

func (m membersRead) handle(c *control, now time.Time) {
	c.reading.busy = false
	c.noteStore(m.err, now)
	if errors.Is(m.err, status.ErrStoreConflict) && !c.reading.due {
		c.reading.registered(m.began, false)
	}
}
