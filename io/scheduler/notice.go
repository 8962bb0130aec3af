package scheduler

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"

	"github.com/labstack/echo/v4"
)

// noticePath takes a notice from another entry.
const noticePath = "/v1/entries/notice"

// Limits of notices.
const (
	// notifyLimit bounds a notice; the owner's watch brings the same news.
	notifyLimit = 400 * time.Millisecond
	// watchLead is how long a notice waits for the watch, which usually is as
	// quick and needs no proof of ownership.
	watchLead = 12 * time.Millisecond
)

// notice tells the owner what another entry has stored: a job, or the
// cancellation of one. Load: a store whose watches hear nothing for a second.
type notice struct {
	ID       string          `json:"id"`
	Revision int64           `json:"revision"`
	Job      json.RawMessage `json:"job,omitempty"`
	// arrived is when the owner got it.
	arrived time.Time
}

// notify tells the owner of a change that this entry made.
func (s *Scheduler) notify(n notice) {
	o, _ := s.mirror.ownership()
	if s.mirror.leading.Load() {
		s.accept(n)
		return
	}
	if !o.Address.IsValid() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyLimit)
		defer cancel()
		// The watch brings the change as well, so a lost notice only delays it.
		s.noticeHealth.Observe(s.peers.Call(ctx, http.MethodPost, o.Address, noticePath, &n, nil))
	}()
}

// accept passes a notice on to the control goroutine, once the watch has had
// its chance.
func (s *Scheduler) accept(n notice) {
	n.arrived = time.Now()
	time.AfterFunc(watchLead, func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyLimit)
		defer cancel()
		s.tell(ctx, n)
	})
}

func (s *Scheduler) takeNotice(x echo.Context) error {
	var n notice
	if err := httpjson.Decode(x, &n); err != nil {
		return err
	}
	if !job.ValidID(n.ID) {
		return status.At(status.ErrBadName, "id", n.ID)
	}
	if !s.mirror.leading.Load() {
		return status.ErrNotOwner
	}
	s.accept(n)
	return x.JSON(http.StatusOK, struct{}{})
}

// notice takes in a notice. It counts once the ownership was proved after its
// arrival: an owner that was replaced must not start what its successor does.
func (c *control) notice(n notice) {
	if c.cell == nil || n.Revision <= c.loaded || c.cell.Knows(n.ID, n.Job == nil) {
		return
	}
	c.notices = append(c.notices, n)
	c.s.seekProof()
}

// seekProof makes the election prove the ownership at once.
func (s *Scheduler) seekProof() { process.Wake(s.prove) }

// proved takes in the notices that arrived before a proof began.
func (c *control) proved(began time.Time) {
	rest := c.notices[:0]
	for _, n := range c.notices {
		if n.arrived.After(began) {
			rest = append(rest, n)
			continue
		}
		kind := job.KeyKindCancelled
		if n.Job != nil {
			kind = job.KeyKindJob
		}
		c.change(change{kind: kind, id: n.ID, value: n.Job, revision: n.Revision})
	}
	c.notices = rest
}
