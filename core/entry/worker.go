package entry

import "net/netip"

// Worker is a worker VM as operators see it.
type Worker struct {
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Address netip.AddrPort `json:"address"`
	// Heard is false if the worker's last announcement lapsed.
	Heard bool `json:"heard"`
	// Draining is true if the worker admits no further batch work.
	Draining bool `json:"draining"`
	// Jobs counts the jobs that run there.
	Jobs int `json:"running-jobs"`
}
