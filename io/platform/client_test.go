package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"rosemarygap/core/status"
	"rosemarygap/core/worker"
	ioworker "rosemarygap/io/worker"

	"github.com/matryer/is"
)

// startServer returns the address of a server that gives the same response to
// every request.
func startServer(t *testing.T, code int, body string) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// A malformed response of the store or of a worker must be reported as an
// unknown outcome, never as a success or a refusal.
func TestMalformedResponsesLeaveOutcomeUnknown(t *testing.T) {
	tests := []struct {
		name string
		code int
		body string
	}{
		{"not JSON", http.StatusOK, "<html>"},
		{"truncated", http.StatusOK, `{"revision":1`},
		{"wrong type", http.StatusOK, `{"revision":"x","stamp":7}`},
		{"no body", http.StatusOK, ""},
		{"error status without a code", http.StatusConflict, "{}"},
		{"error status without JSON", http.StatusBadGateway, "bad gateway"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := startServer(t, tt.code, tt.body)
			store := NewClient(a)
			defer store.Close()
			_, err := store.Put(context.Background(), Write{Key: "k", Value: []byte(`1`)})
			is.True(errors.Is(err, status.ErrStoreUnavailable))
			workers := ioworker.NewClient()
			defer workers.Close()
			r, err := workers.Send(context.Background(), worker.Command{Worker: "w", Address: a})
			is.True(r == nil)
			is.True(errors.Is(err, status.ErrUnreachable))
		})
	}
}
