package entry

import (
	"net/http"
	"strings"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/entry"
	"rosemarygap/core/latency"
	iocaller "rosemarygap/io/caller"
)

// servicePrefix begins the path of a caller's request.
const servicePrefix = "/services/"

// observeLatency records how long callers wait for each configured service,
// the time to send the answer included.
func observeLatency(next http.Handler, r *latency.Recorder, snapshot func() *entry.Snapshot) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		rest, ok := strings.CutPrefix(q.URL.Path, servicePrefix)
		if !ok {
			next.ServeHTTP(w, q)
			return
		}
		began := time.Now()
		defer func() {
			service, _, _ := strings.Cut(rest, "/")
			c := snapshot().Config
			if c == nil || c.Document.Service(service) == nil {
				return
			}
			answered := w.Header().Get(iocaller.HeaderOutcome) == string(caller.Answered)
			now := time.Now()
			r.Observe(service, now.Sub(began), answered, now)
		}()
		next.ServeHTTP(w, q)
	})
}
