package peer

import (
	"testing"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
)

// FuzzMessages checks that any message from an endpoint, a worker or another entry is
// decoded, or rejected with a code other than internal.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"id":"e","service":"s","zone":"z","address":"127.0.0.1:1","incarnation":1,"seq":1,"state":"ready","slots":8,"connections":64,"uptime":"1s"}`))
	f.Add([]byte(`{"id":"w","zone":"z","rack":"r","address":"127.0.0.1:1","incarnation":1}`))
	f.Add([]byte(`{"cell":0,"epoch":1,"seq":2,"echo":{"incarnation":1,"time":"1s"},"grant":"15s","hold-until":"1h0m0s","same-as":1,"tasks":[]}`))
	f.Add([]byte(`{"worker":"w","stamp":{"incarnation":1,"time":"1s"},"base":"1s","tasks":[{"job":"j","attempt":1,"state":"done"}]}`))
	f.Add([]byte(`{"from":{"id":"entry-0","address":"127.0.0.1:1"},"config-revision":1,"endpoints":{"generation":1,"next":2}}`))
	f.Add([]byte(`{"grant":15}`))
	f.Add([]byte(`{"address":"nowhere"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var a endpoint.Announcement
		check(t, wire.Unmarshal(b, &a))
		check(t, a.Check())
		for _, v := range []any{&WorkerAnnouncement{}, &ExchangeRequest{}, &ExchangeResponse{}, &worker.Lease{}, &worker.Report{}} {
			check(t, wire.Unmarshal(b, v))
		}
	})
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil && status.CodeOf(err) == status.ErrInternal.Code() {
		t.Fatalf("rejected without a specific code: %v", err)
	}
}
