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

// servicePrefix is the path prefix of the requests of callers.
const servicePrefix = "/services/"

// recordLatency returns a handler that calls next and records how long callers wait
// for each configured service, including the time to send the response.
func recordLatency(next http.Handler, recorder *latency.Recorder, snapshot func() *entry.Snapshot) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rest, ok := strings.CutPrefix(r.URL.Path, servicePrefix)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		start := time.Now()
		defer func() {
			service, _, _ := strings.Cut(rest, "/")
			config := snapshot().Config
			if config == nil || config.Document.Service(service) == nil {
				return
			}
			answered := w.Header().Get(iocaller.HeaderOutcome) == string(caller.Answered)
			now := time.Now()
			recorder.Observe(service, now.Sub(start), answered, now)
		}()
		next.ServeHTTP(w, r)
	})
}
