package entry

import "net/netip"

// Worker is the state of a worker VM as reported to operators.
type Worker struct {
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Address netip.AddrPort `json:"address"`
	// Heard is true while the worker's last announcement hasn't expired.
	Heard bool `json:"heard"`
	// Draining is true if the worker accepts no further batch jobs.
	Draining bool `json:"draining"`
	// Jobs is the number of jobs that run on the worker.
	Jobs int `json:"running-jobs"`
}
