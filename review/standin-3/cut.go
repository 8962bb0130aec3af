package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"rosemarygap/core/job"
)

// proxyOffset is added to the last byte of a scheduler's address to get that of the proxy through
// which the agent that can be cut off calls it.
const proxyOffset = 100

// partition is a network between one agent and all schedulers that can be cut.
type partition struct {
	mu    sync.Mutex
	cut   bool
	links []*heldLink
}

// heldLink is one channel of the agent to a scheduler.
type heldLink struct {
	mu      sync.Mutex
	stalled bool
	held    []byte
	ended   bool
	to      net.Conn
}

// begin cuts the network. All channels that are open stay silent until resume is called: the
// packets of the agent are sent again at growing intervals, which a short mend can miss.
func (p *partition) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	for _, l := range p.links {
		l.mu.Lock()
		l.stalled = true
		l.mu.Unlock()
	}
}

// mend lets new channels through.
func (p *partition) mend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
}

// resume delivers what the channels of earlier cuts have held up.
func (p *partition) resume() (delivered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		if l.stalled {
			if len(l.held) > 0 {
				delivered++
				_, _ = l.to.Write(l.held)
			}
			l.held, l.stalled = nil, false
			if l.ended {
				_ = l.to.Close()
			}
		}
		l.mu.Unlock()
	}
	return delivered
}

// serve forwards channels to a scheduler until the listener ends.
func (p *partition) serve(l net.Listener, to netip.AddrPort) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut {
			c.Close()
			continue
		}
		s, err := net.Dial("tcp", to.String())
		if err != nil {
			c.Close()
			continue
		}
		link := &heldLink{to: s}
		p.mu.Lock()
		p.links = append(p.links, link)
		p.mu.Unlock()
		go link.forward(c)
		go func() {
			b := make([]byte, 64<<10)
			for {
				n, err := s.Read(b)
				link.mu.Lock()
				stalled := link.stalled
				link.mu.Unlock()
				if err != nil || stalled {
					return
				}
				if _, err := c.Write(b[:n]); err != nil {
					return
				}
			}
		}()
	}
}

// forward forwards what the agent sends, or holds it while the channel is silent.
func (l *heldLink) forward(c net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := c.Read(b)
		l.mu.Lock()
		if l.stalled {
			l.held = append(l.held, b[:n]...)
		} else if n > 0 {
			_, _ = l.to.Write(b[:n])
		}
		if err != nil {
			l.ended = true
			if !l.stalled {
				_ = l.to.Close()
			}
		}
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// viaProxies returns a handler that serves the store to the agent that can be cut off: the
// addresses of the schedulers in its answers are those of the proxies, as a network that
// translates addresses would do.
func viaProxies(w *world, h http.Handler) http.Handler {
	translate := func(v []byte) []byte {
		for i := range w.schedulers {
			v = bytes.ReplaceAll(v, []byte(netip.AddrPortFrom(w.ip(11+i), peerPort).String()+`"`), []byte(netip.AddrPortFrom(w.ip(11+i+proxyOffset), peerPort).String()+`"`))
		}
		return v
	}
	var item func(m map[string]any)
	item = func(m map[string]any) {
		if v, ok := m["value"].(string); ok {
			var b []byte
			if json.Unmarshal([]byte(`"`+v+`"`), &b) == nil {
				m["value"] = translate(b)
			}
		}
		for _, list := range []string{"items", "events"} {
			items, _ := m[list].([]any)
			for _, i := range items {
				if i, ok := i.(map[string]any); ok {
					item(i)
				}
			}
		}
	}
	return http.HandlerFunc(func(x http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		body := answer.Body.Bytes()
		var m map[string]any
		d := json.NewDecoder(bytes.NewReader(body))
		d.UseNumber()
		if d.Decode(&m) == nil && strings.HasPrefix(r.URL.Path, "/v1/kv-") {
			item(m)
			if b, err := json.Marshal(m); err == nil {
				body = b
			}
		}
		x.Header().Set("Content-Type", "application/json")
		x.WriteHeader(answer.Code)
		_, _ = io.Copy(x, bytes.NewReader(body))
	})
}

// Times of playCut. The first cut is shorter than the second one, and the network is mended
// between them.
const (
	firstCut  = 3 * time.Second
	mended    = 2 * time.Second
	secondCut = 12 * time.Second
	// contact is contact-ms: a disturbance counts as near until then.
	contact = 3 * time.Second
)

// playCut cuts an agent off from all schedulers twice. A report of the first cut is delivered at the
// end of the second one.
func playCut(dir, program string, trouble bool) int {
	w, err := begin(dir, program, 3, 11, func(w *world) { w.partition = &partition{} })
	if err != nil {
		return fail(w, err)
	}
	submit := func(id string, tasks int) bool {
		return w.submit(0, id, 300*time.Millisecond, "", text("labelled", tasks))
	}
	done := func(id string, limit time.Duration) bool {
		for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
			if w.state(1, id) == string(job.Done) {
				return true
			}
		}
		return false
	}
	first, second, third := "5c0e7a21d94b6001", "5c0e7a21d94b6002", "5c0e7a21d94b6003"
	if !submit(first, 5) || !done(first, 5*time.Second) {
		return w.finish(failed, "the first job is not done before any cut")
	}
	time.Sleep(time.Second)
	if trouble {
		w.record("side-0 is cut off from the entries for %v", firstCut)
		w.partition.begin()
		time.Sleep(firstCut)
		w.partition.mend()
		w.record("side-0 reaches the entries on new channels")
	}
	mendedAt := time.Now()
	if !submit(second, 40) || !done(second, 5*time.Second) {
		return w.finish(failed, "the second job is not done between the cuts")
	}
	time.Sleep(max(0, mended-time.Since(mendedAt)))
	if trouble {
		w.record("side-0 is cut off from the entries for %v", secondCut)
		w.partition.begin()
		time.Sleep(secondCut)
		w.record("%d channels go on and deliver what they held", w.partition.resume())
		w.partition.mend()
	}
	time.Sleep(contact)
	if !submit(third, 3) {
		return w.finish(failed, "the third job was not accepted")
	}
	if done(third, 20*time.Second) {
		return w.finish(held, "the third job is done")
	}
	w.mu.Lock()
	starts := 0
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, third) {
			starts++
		}
	}
	w.mu.Unlock()
	return w.finish(broken, "LOST: 20 s after the third job was accepted it is %s, with %d starts; worker 0 runs nothing and has 16 cores free", w.state(1, third), starts)
}
