package fleet

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// TestDeploymentFreesItsAddresses checks that the cleanup of a deployment waits until its
// processes, links and servers have ended, also with open connections. A listener that
// was still open made the next test on the same network fail with "address already in
// use".
func TestDeploymentFreesItsAddresses(t *testing.T) {
	var used []netip.AddrPort
	t.Run("deployment", func(t *testing.T) {
		r := newTestRun(t, 60009, 1, 1)
		c := &http.Client{}
		defer c.CloseIdleConnections()
		r.awaitReady(c)
		for _, p := range append(r.schedulers[:1:1], r.agents...) {
			used = append(used, addrPort(p.ip, storePort), addrPort(p.ip, controlPort))
		}
		a := r.agents[0]
		used = append(used, addrPort(r.vmIP(1), storePort), addrPort(r.schedulers[0].ip, callerPort),
			addrPort(a.ip, workerPort), addrPort(a.ip, appPort))
		for _, u := range used {
			c, err := dialStarting(u)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
	})
	for _, u := range used {
		l, err := net.Listen("tcp", u.String())
		if err != nil {
			t.Error(err)
			continue
		}
		l.Close()
	}
}

// dialStarting connects to a process that may not listen yet.
func dialStarting(a netip.AddrPort) (c net.Conn, err error) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err = net.DialTimeout("tcp", a.String(), time.Second); err == nil {
			return c, nil
		}
	}
	return nil, err
}

// TestDeploymentsHaveDistinctNetworks checks that two deployments of an execution, such as
// those of the same seed in two soak tests, never have the same addresses.
func TestDeploymentsHaveDistinctNetworks(t *testing.T) {
	seen := map[netip.Addr]bool{}
	for range 100 {
		d := &deployment{network: nextNetwork()}
		if ip := d.vmIP(1); seen[ip] {
			t.Fatalf("address %s is used twice", ip)
		} else {
			seen[ip] = true
		}
	}
}
