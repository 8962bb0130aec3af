package scheduler

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"

	"github.com/labstack/echo/v4"
)

// noticePath is the path to which other entries post a notice.
const noticePath = "/v1/entries/notice"

// Limits of notices.
const (
	// noticeTimeout is the timeout for the delivery of a notice. A notice may
	// be lost, since the owner's watch delivers the same change.
	noticeTimeout = 400 * time.Millisecond
	// noticeDelay is how long the owner waits before it processes a notice. The
	// watch usually delivers the same change within this time, and a change from
	// the watch needs no ownership check.
	noticeDelay = 12 * time.Millisecond
)

// notice tells the owner that an entry has stored a job or, if Job is empty,
// the cancellation of one. Notices limit the delay until the owner learns of a
// change: the watches of the store may deliver nothing for a second.
type notice struct {
	ID       string          `json:"id"`
	Revision int64           `json:"revision"`
	Job      json.RawMessage `json:"job,omitempty"`
	// receivedAt is when the owner received the notice.
	receivedAt time.Time
}

// notifyOwner sends a notice of a change that this entry has stored to the
// owner.
func (s *Scheduler) notifyOwner(n notice) {
	o, _ := s.mirror.ownership()
	if s.mirror.isOwner.Load() {
		s.forwardNotice(n)
		return
	}
	if !o.Address.IsValid() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		// The owner's watch delivers the change as well, so the loss of a
		// notice only delays it.
		_, err := s.postNotice(ctx, o, &n, false)
		s.noticeHealth.Observe(err)
	}()
}

// postNotice sends a notice or, with inquiry, an inquiry to the owner. With admission,
// it takes over the forecast in the reply.
func (s *Scheduler) postNotice(ctx context.Context, o job.Ownership, n *notice, inquiry bool) (noticeReply, error) {
	var reply noticeReply
	if s.admission == nil {
		return reply, s.peerClient.Call(ctx, http.MethodPost, o.Address, noticePath, n, nil)
	}
	sentAt := time.Now()
	query := url.Values{forecastParameter: {strconv.FormatBool(s.admission.askForecast(sentAt))}}
	if inquiry {
		query.Set(inquiryParameter, "true")
	}
	err := s.peerClient.Call(ctx, http.MethodPost, o.Address, noticePath+"?"+query.Encode(), n, &reply)
	if err == nil {
		s.receiveForecast(reply.Forecast, sentAt)
	}
	return reply, err
}

// forwardNotice sends a notice to the control goroutine after noticeDelay.
func (s *Scheduler) forwardNotice(n notice) {
	n.receivedAt = time.Now()
	time.AfterFunc(noticeDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		s.sendToControl(ctx, n)
	})
}

// handleNotice serves the notices of other entries.
func (s *Scheduler) handleNotice(x echo.Context) error {
	var n notice
	if err := httpjson.Decode(x, &n); err != nil {
		return err
	}
	if !job.ValidID(n.ID) {
		return status.At(status.ErrBadName, "id", n.ID)
	}
	if !s.mirror.isOwner.Load() {
		return status.ErrNotOwner
	}
	from, err := netip.ParseAddrPort(x.Request().RemoteAddr)
	if err == nil {
		s.recentPeers.record(netip.AddrPortFrom(from.Addr(), s.cfg.PeerPort))
	}
	forecast := x.QueryParam(forecastParameter)
	if s.admission == nil || forecast == "" {
		s.forwardNotice(n)
		return x.JSON(http.StatusOK, struct{}{})
	}
	if n.Revision > 0 {
		s.forwardNotice(n)
	}
	reply := s.answerNotice(&n, from.Addr(), x.QueryParam(inquiryParameter) != "", forecast == strconv.FormatBool(true))
	return x.JSON(http.StatusOK, &reply)
}

// queueNotice queues a notice, unless its change is known, and requests an
// ownership check. The notice is applied once a check that began after its
// arrival has succeeded: a superseded owner must not start a job that its
// successor starts.
func (c *control) queueNotice(n notice) {
	if c.cell == nil || n.Revision <= c.loadedRevision || c.cell.Knows(n.ID, n.Job == nil) {
		return
	}
	c.notices = append(c.notices, n)
	c.s.requestOwnershipCheck()
}

// requestOwnershipCheck makes the election goroutine check the ownership at once.
func (s *Scheduler) requestOwnershipCheck() { process.Wake(s.ownershipCheckRequests) }

// applyNotices applies the notices that arrived before a successful ownership
// check, which began at began.
func (c *control) applyNotices(began time.Time) {
	rest := c.notices[:0]
	for _, n := range c.notices {
		if n.receivedAt.After(began) {
			rest = append(rest, n)
			continue
		}
		kind := job.KeyKindCancelled
		if n.Job != nil {
			kind = job.KeyKindJob
		}
		c.applyChange(change{kind: kind, id: n.ID, value: n.Job, revision: n.Revision})
	}
	c.notices = rest
}
