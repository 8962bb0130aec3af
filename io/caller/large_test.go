package caller

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"rosemarygap/core/caller"
	coreendpoint "rosemarygap/core/endpoint"
	"rosemarygap/io/endpoint"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// echoBody responds with the request's body. The response has a Content-Length if
// the query parameter frame is "length"; otherwise net/http chooses the framing.
// The query parameter break aborts the response after that many bytes, whatever
// its framing.
func echoBody(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	if r.URL.Query().Get("frame") == "length" {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("break")); err == nil {
		_, _ = w.Write(b[:n])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
}

// TestLargeBodiesAreCompleteOrAborted checks that request and response bodies
// pass completely over real connections, whether buffered or streamed,
// and that a response that breaks off never looks complete.
func TestLargeBodiesAreCompleteOrAborted(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(echoBody))
	defer backend.Close()
	m := coreendpoint.NewMembership(time.Hour)
	m.Apply(coreendpoint.Announcement{ID: "endpoint-0", Service: "catalogue",
		Address: backend.Listener.Addr().(*net.TCPAddr).AddrPort(), Incarnation: 1, Seq: 1,
		State: coreendpoint.Ready, Slots: 8, Connections: 64}, 0, time.Now())
	control := newFakeControl(0, 1, 8, time.Now())
	control.snap.Endpoints = m.View(time.Now())
	control.snap.Config.Document.Services[0].MaxBodyBytes = 8 << 20
	c := endpoint.NewClient(8)
	defer c.Close()
	entry := httptest.NewServer(NewServer(control, c, hclog.NewNullLogger()).Handler())
	defer entry.Close()
	for _, size := range []int{1, 1<<20 - 1, 1 << 20, 1<<20 + 1, 8 << 20} {
		for _, frame := range []string{"length", "chunked"} {
			t.Run(fmt.Sprint(frame, " ", size), func(t *testing.T) {
				is := is.New(t)
				body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
				send := func(query string) (string, []byte, error) {
					w, err := http.Post(entry.URL+"/services/catalogue/x?frame="+frame+query, "text/plain", bytes.NewReader(body))
					is.NoErr(err)
					defer w.Body.Close()
					b, err := io.ReadAll(w.Body)
					return w.Header.Get(HeaderOutcome), b, err
				}
				outcome, got, err := send("")
				is.NoErr(err)
				is.Equal(outcome, string(caller.Answered))
				is.Equal(sha256.Sum256(got), sha256.Sum256(body))
				outcome, _, err = send("&break=" + strconv.Itoa(size/2))
				is.True(err != nil || outcome == string(caller.Unknown)) // the broken response looked complete
			})
		}
	}
}
