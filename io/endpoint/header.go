package endpoint

import (
	"net/http"
	"strings"
)

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// ownPrefix begins the name of each header that rosemarygap itself sets.
const ownPrefix = "Rosemarygap-"

// ForwardHeader returns the headers that pass through a process of rosemarygap
// either way.
func ForwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, f := range h.Values("Connection") {
		for name := range strings.SplitSeq(f, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(out, name)
		}
	}
	return out
}

// CopyHeader adds the headers of an answer that pass through.
func CopyHeader(to, from http.Header) {
	for name, values := range ForwardHeader(from) {
		to[name] = values
	}
}
