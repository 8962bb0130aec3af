package scheduler

import (
	"net/netip"
	"slices"
	"sync"
)

// maxRecentPeers is the number of entries that an owner remembers.
const maxRecentPeers = 4

// recentPeers are the addresses of the entries that sent a notice last, newest first.
// The owner turns to them when it is cut off from the store. The zero value is ready
// for use by several goroutines.
type recentPeers struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
}

func (p *recentPeers) record(a netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = slices.DeleteFunc(p.addresses, func(b netip.AddrPort) bool { return a == b })
	p.addresses = slices.Insert(p.addresses, 0, a)
	p.addresses = p.addresses[:min(len(p.addresses), maxRecentPeers)]
}

func (p *recentPeers) list() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.addresses)
}
