package endpoint

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1). Expect
// is among them because net/http has already answered it.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// ownHeaderPrefix is the prefix of all headers that rosemarygap itself sets.
const ownHeaderPrefix = "Rosemarygap-"

// ForwardHeader returns the headers of a request or response that rosemarygap
// forwards: all but hop-by-hop headers and its own.
func ForwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, f := range h.Values("Connection") {
		for name := range strings.SplitSeq(f, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}

// CopyHeader sets in to the headers of from that rosemarygap forwards.
func CopyHeader(to, from http.Header) {
	for name, values := range ForwardHeader(from) {
		to[name] = values
	}
}
