// Package entry implements the entry process: its listeners, its clients, and the
// control goroutine, which owns all control state. An entry accepts the requests of
// callers and forwards them to endpoints. The slots of an endpoint limit its requests
// in progress, and each entry has a share of them. An entry may also own cells, whose
// batch jobs it then schedules. A cell is a partition of the batch jobs and workers.
//
// Invariants: only the control goroutine changes the tables of control state. Other
// goroutines send it messages or read the published snapshot. Each goroutine that
// the control goroutine starts ends by sending exactly one result, and the control
// goroutine receives all results before it ends.
package entry

import (
	"net/netip"
	"strconv"
	"time"

	"rosemarygap/core/operator"
	"rosemarygap/core/status"
)

// Options contains the settings of an entry. docs/SETTINGS.md is generated from
// the struct tags.
type Options struct {
	ID              string           `arg:"--id,required,env:ROSEMARYGAP_ID" help:"name of this entry, unique among entries"`
	Zone            string           `arg:"--zone,required,env:ROSEMARYGAP_ZONE" help:"availability zone of this VM"`
	CallerListen    netip.AddrPort   `arg:"--caller-listen,required,env:ROSEMARYGAP_CALLER_LISTEN" help:"address for callers and announcements, IP:PORT"`
	PeerListen      netip.AddrPort   `arg:"--peer-listen,required,env:ROSEMARYGAP_PEER_LISTEN" help:"address for other entries, IP:PORT"`
	OperatorListen  netip.AddrPort   `arg:"--operator-listen,required,env:ROSEMARYGAP_OPERATOR_LISTEN" help:"address for operators, IP:PORT"`
	AdminListen     netip.AddrPort   `arg:"--admin-listen,required,env:ROSEMARYGAP_ADMIN_LISTEN" help:"address for metrics, liveness and readiness, IP:PORT"`
	Platform        netip.AddrPort   `arg:"--platform,required,env:ROSEMARYGAP_PLATFORM" help:"address of the platform's key-value service, IP:PORT"`
	Peers           []netip.AddrPort `arg:"--peer,env:ROSEMARYGAP_PEERS" help:"peer addresses of other entries, for a start while the key-value service is unavailable"`
	LeaseTTL        time.Duration    `arg:"--lease-ttl,env:ROSEMARYGAP_LEASE_TTL" default:"5s" help:"time after which this entry's registration expires if it is not renewed; 1s to 30s"`
	StopDelay       time.Duration    `arg:"--stop-delay,env:ROSEMARYGAP_STOP_DELAY" default:"2s" help:"how long a graceful shutdown keeps accepting requests, so that the load balancer can notice it; 0s to 60s"`
	StopLimit       time.Duration    `arg:"--stop-limit,env:ROSEMARYGAP_STOP_LIMIT" default:"60s" help:"maximum time that a graceful shutdown waits for requests in progress; 1s to 10m"`
	MemoryLimit     int64            `arg:"--memory-limit,env:ROSEMARYGAP_MEMORY_LIMIT" default:"0" help:"memory limit of the process in MiB; three tenths of it are for the connections of clients; 0 means no limit, and 1 GiB for these connections"`
	DescriptorLimit int              `arg:"--descriptor-limit,env:ROSEMARYGAP_DESCRIPTOR_LIMIT" default:"0" help:"maximum number of file descriptors of the process; about half of it is for the connections of clients; 0 means the limit of the operating system"`
	LogLevel        string           `arg:"--log-level,env:ROSEMARYGAP_LOG_LEVEL" default:"info" help:"minimum level of log lines: trace, debug, info, warn or error"`
	OperatorToken   string           `arg:"--operator-token,env:ROSEMARYGAP_OPERATOR_TOKEN" help:"bearer token that operators need for changes; may be empty only if --operator-listen is a loopback address"`
}

// Limits of the settings.
const (
	minLeaseTTL  = time.Second
	maxLeaseTTL  = 30 * time.Second
	maxStopDelay = time.Minute
	minStopLimit = time.Second
	maxStopLimit = 10 * time.Minute
)

// Check returns an error for the first invalid setting, with its flag and value,
// or nil if all settings are valid.
func (o *Options) Check() error {
	switch {
	case !operator.ValidName(o.ID):
		return badSetting("--id", o.ID)
	case !operator.ValidName(o.Zone):
		return badSetting("--zone", o.Zone)
	case o.LeaseTTL < minLeaseTTL || o.LeaseTTL > maxLeaseTTL:
		return badSetting("--lease-ttl", o.LeaseTTL.String())
	case o.StopDelay < 0 || o.StopDelay > maxStopDelay:
		return badSetting("--stop-delay", o.StopDelay.String())
	case o.MemoryLimit < 0:
		return badSetting("--memory-limit", strconv.FormatInt(o.MemoryLimit, 10))
	case o.DescriptorLimit < 0:
		return badSetting("--descriptor-limit", strconv.Itoa(o.DescriptorLimit))
	case o.StopLimit < minStopLimit || o.StopLimit > maxStopLimit:
		return badSetting("--stop-limit", o.StopLimit.String())
	case !isValidLevel(o.LogLevel):
		return badSetting("--log-level", o.LogLevel)
	case o.OperatorToken == "" && !o.OperatorListen.Addr().IsLoopback():
		return badSetting("--operator-token", "")
	}
	return nil
}

func badSetting(flag, value string) error {
	return status.At(status.ErrBadSetting, flag, value)
}

func isValidLevel(s string) bool {
	switch s {
	case "trace", "debug", "info", "warn", "error":
		return true
	}
	return false
}
