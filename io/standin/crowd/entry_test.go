package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	coreendpoint "rosemarygap/core/endpoint"
	"rosemarygap/core/wire"
	standinendpoint "rosemarygap/io/standin/endpoint"
	standinplatform "rosemarygap/io/standin/platform"
	"rosemarygap/platform/platformtest"
)

// Ports of an entry, of an endpoint and of its guard.
const (
	entryCallerPort   = 21110
	entryPeerPort     = 21111
	entryOperatorPort = 21112
	entryAdminPort    = 21113
	entryStorePort    = 21114
	endpointPort      = 21115
	guardPort         = 21116
)

const (
	exampleConfig = "../../../examples/kettle-valley.json"
	// servicePath is a path of the service in exampleConfig.
	servicePath = "/services/catalogue/ping"
	// maxServiceBytes is the size of the largest request for the service.
	maxServiceBytes = 1 << 20
	// maxGuardBytes is smaller than what a guard accepts.
	maxGuardBytes   = 8 << 20
	smallBytes      = 1 << 10
	endpointSlots   = 8
	endpointTime    = time.Millisecond
	changeConfigURL = "/api/config"
)

// Limits and crowds of an entry and a guard.
var (
	entryMemory      = limits{memoryMiB: 96, descriptors: 4096}
	entryDescriptors = limits{memoryMiB: 96, descriptors: 400}
)

const (
	guardCrowd = 24
	// documentCrowd and documentBytes are small, because the memory of one document of
	// tiny elements is a large multiple of its size.
	documentCrowd = 4
	documentBytes = 64 << 10
	// responseBytes is the size of a response of the endpoint.
	responseBytes = 1 << 20
)

// limitEnvironment returns the variables with the limits of an entry or a guard.
func limitEnvironment(l limits) []string {
	return []string{"ROSEMARYGAP_MEMORY_LIMIT=" + strconv.Itoa(l.memoryMiB), "ROSEMARYGAP_DESCRIPTOR_LIMIT=" + strconv.Itoa(l.descriptors)}
}

// entry is an entry process.
type entry struct {
	*subject
	network int64
	// change is the change of the configuration that was made.
	change []byte
}

func (e *entry) address(port int) netip.AddrPort { return vmAddress(e.network, 31, port) }

// startEntry starts an entry and waits until the example configuration is in force.
func startEntry(t *testing.T, l limits, watchedPort int) *entry {
	t.Helper()
	l = schedulerLimits(l)
	e := &entry{network: networks.Add(1)}
	store := vmAddress(e.network, 1, entryStorePort)
	serve(t, store, standinplatform.NewServer(standinplatform.NewStore()).Handler())
	e.subject = startProcess(t, l, e.address(watchedPort), limitEnvironment(l), "entry", "--id", "entry-a", "--zone", "kelowna",
		"--caller-listen", e.address(entryCallerPort).String(), "--peer-listen", e.address(entryPeerPort).String(),
		"--operator-listen", e.address(entryOperatorPort).String(), "--admin-listen", e.address(entryAdminPort).String(),
		"--platform", store.String(), "--lease-ttl", "1s")
	e.configure(t)
	return e
}

// startServing starts an endpoint and waits until the entry answers requests for the
// service.
func (e *entry) startServing(t *testing.T) {
	t.Helper()
	a := e.address(entryCallerPort)
	startEndpoint(t, vmAddress(e.network, 41, endpointPort), a)
	await(t, e.subject, func() bool {
		return expect(t, a, a.String(), http.MethodGet, servicePath, nil, http.StatusOK) == nil
	})
}

// configure puts the example configuration in force.
func (e *entry) configure(t *testing.T) {
	t.Helper()
	document, err := os.ReadFile(exampleConfig)
	if err != nil {
		t.Fatal(err)
	}
	e.change, err = json.Marshal(map[string]any{"revision": 0, "change-id": "first", "document": json.RawMessage(document)})
	if err != nil {
		t.Fatal(err)
	}
	a := e.address(entryOperatorPort)
	await(t, e.subject, func() bool {
		return expect(t, a, a.String(), http.MethodPut, changeConfigURL, e.change, http.StatusOK) == nil
	})
}

// startEndpoint serves an endpoint at a and announces it to the entry until the end of the
// test.
func startEndpoint(t *testing.T, a, to netip.AddrPort) {
	t.Helper()
	s := standinendpoint.NewServer(coreendpoint.Announcement{ID: "endpoint-0", Service: "catalogue", Zone: "kelowna",
		Address: a, Slots: endpointSlots, Connections: 64}, endpointTime, 1)
	serve(t, a, s.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Announce(ctx, []netip.AddrPort{to}) }()
	t.Cleanup(func() { cancel(); <-done })
}

// listener returns the listener at port. The body is padded to size; without one, query is
// sent in its place.
func (e *entry) listener(t *testing.T, port int, method, path string, body []byte, size int, query string) *listener {
	a := e.address(port)
	l := &listener{address: a, host: a.String(), method: method, path: func(int) string { return path }, query: query,
		ordinary: func(int) error { return expect(t, a, a.String(), http.MethodGet, query, nil, http.StatusOK) }}
	if size > 0 {
		l.body = platformtest.Pad(body, size)
	}
	return l
}

func checkEntryCaller(t *testing.T, l limits, n int, act func(*client) error) {
	t.Helper()
	e := startEntry(t, l, entryCallerPort)
	e.startServing(t)
	checkCrowd(t, e.subject, e.listener(t, entryCallerPort, http.MethodPost, servicePath, nil, maxServiceBytes, servicePath), n, act)
}

// Bodies of the largest size that stop short of their end must not use up the memory.
func TestEntryCallerWholeBody(t *testing.T) {
	checkEntryCaller(t, entryMemory, controlCrowd, wholeBody)
}

// Bodies in large chunks that stop short of their end must not use up the memory.
func TestEntryCallerLargeChunks(t *testing.T) {
	checkEntryCaller(t, entryMemory, controlCrowd, largeChunks)
}

// Connections that are idle after a request must not use up the descriptors.
func TestEntryCallerIdleAfterRequest(t *testing.T) {
	checkEntryCaller(t, entryDescriptors, frontCrowd, idleAfterRequest)
}

// Responses that nobody reads must not use up the memory.
func TestEntryCallerUnreadResponses(t *testing.T) {
	checkEntryCaller(t, entryMemory, controlCrowd, unreadResponse(servicePath+"?size="+strconv.Itoa(responseBytes)))
}

func checkEntryPeer(t *testing.T, l limits, n int, act func(*client) error) {
	t.Helper()
	e := startEntry(t, l, entryPeerPort)
	note := []byte(`{"to":{"id":"entry-a","incarnation":1}}`)
	checkCrowd(t, e.subject, e.listener(t, entryPeerPort, http.MethodPost, "/peer/notes", note, wire.MaxControlBody, "/peer/status"), n, act)
}

// Bodies of the largest size that stop short of their end must not use up the memory.
func TestEntryPeerWholeBody(t *testing.T) { checkEntryPeer(t, entryMemory, controlCrowd, wholeBody) }

// Connections that send nothing must not use up the descriptors.
func TestEntryPeerSilent(t *testing.T) { checkEntryPeer(t, entryDescriptors, frontCrowd, silent) }

// Bodies of the largest size that stop short of their end must not use up the memory.
func TestEntryOperatorWholeBody(t *testing.T) {
	e := startEntry(t, entryMemory, entryOperatorPort)
	checkCrowd(t, e.subject, e.listener(t, entryOperatorPort, http.MethodPut, changeConfigURL, e.change, wire.MaxControlBody, "/api/status"),
		controlCrowd, wholeBody)
}

// Decoding many configurations of tiny elements at once must not use up the memory.
func TestEntryOperatorTinyElements(t *testing.T) {
	e := startEntry(t, entryMemory, entryOperatorPort)
	l := e.listener(t, entryOperatorPort, http.MethodPut, changeConfigURL, e.change, wire.MaxControlBody, "/api/status")
	const begin, service, end = `{"revision":0,"change-id":"second","document":{"services":[{}`, `,{}`, `]}}`
	body := []byte(begin)
	for len(body)+len(service)+len(end) <= documentBytes {
		body = append(body, service...)
	}
	body = append(body, end...)
	checkCrowd(t, e.subject, l, documentCrowd, func(c *client) error {
		c.read()
		return c.sendAtOnce(append(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...))
	})
}

func checkEntryAdmin(t *testing.T, l limits, n int, act func(*client) error) {
	t.Helper()
	e := startEntry(t, l, entryAdminPort)
	checkCrowd(t, e.subject, e.listener(t, entryAdminPort, http.MethodGet, "/metrics", nil, 0, "/metrics"), n, act)
}

// Headers that never end must not use up the memory.
func TestEntryAdminHeaderNeverFinished(t *testing.T) {
	checkEntryAdmin(t, entryMemory, frontCrowd, headerNeverFinished)
}

// Metrics that nobody reads must not use up the memory.
func TestEntryAdminPipelinedUnread(t *testing.T) {
	checkEntryAdmin(t, entryMemory, frontCrowd, pipelinedUnread)
}

func checkGuard(t *testing.T, l limits, bodyBytes, n int, act func(*client) error) {
	t.Helper()
	l = schedulerLimits(l)
	network := networks.Add(1)
	a, endpoint := vmAddress(network, 41, guardPort), vmAddress(network, 41, endpointPort)
	s := standinendpoint.NewServer(coreendpoint.Announcement{Slots: endpointSlots}, endpointTime, 1)
	serve(t, endpoint, s.Handler())
	g := startProcess(t, l, a, limitEnvironment(l), "guard", "--id", "endpoint-0", "--service", "catalogue", "--zone", "kelowna",
		"--listen", a.String(), "--endpoint", endpoint.String(), "--entry", vmAddress(network, 31, entryCallerPort).String(),
		"--slots", strconv.Itoa(endpointSlots))
	ordinary := func(int) error { return expect(t, a, a.String(), http.MethodGet, "/ping", nil, http.StatusOK) }
	await(t, g, func() bool { return ordinary(0) == nil })
	checkCrowd(t, g, &listener{address: a, host: a.String(), method: http.MethodPost, path: func(int) string { return "/ping" },
		body: platformtest.Pad(nil, bodyBytes), query: "/ping", ordinary: ordinary}, n, act)
}

// Bodies that stop short of their end must not use up the memory.
func TestGuardWholeBody(t *testing.T) {
	checkGuard(t, entryMemory, maxGuardBytes, guardCrowd, wholeBody)
}

// Bodies in large chunks that stop short of their end must not use up the memory.
func TestGuardLargeChunks(t *testing.T) {
	checkGuard(t, entryMemory, maxGuardBytes, guardCrowd, largeChunks)
}

// Headers that never end must not use up the memory.
func TestGuardHeaderNeverFinished(t *testing.T) {
	checkGuard(t, entryMemory, smallBytes, frontCrowd, headerNeverFinished)
}

// Connections that send nothing must not use up the descriptors.
func TestGuardSilent(t *testing.T) { checkGuard(t, entryDescriptors, smallBytes, frontCrowd, silent) }

// Incomplete requests must not keep the slots of the endpoint from others.
func TestGuardIncompleteBody(t *testing.T) {
	checkGuard(t, entryMemory, smallBytes, guardCrowd, incompleteBody)
}
