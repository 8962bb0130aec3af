package deployment

import (
	"bufio"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"rosemarygap/io/standin/platform"
)

// Sample is the resource use of all entries and the store at one time. CPU,
// InterfaceBytes and Store are totals since the start of the processes.
type Sample struct {
	At time.Time
	// CPU is the processor time of all entries.
	CPU time.Duration
	// ResidentBytes is the resident memory of all entries.
	ResidentBytes float64
	// InterfaceBytes is the number of bytes that all entries sent and received,
	// by interface.
	InterfaceBytes map[string]float64
	Store          platform.CallCounts
}

// Sample reads the metrics of all entries and the call counts of the store.
func (d *Deployment) Sample() Sample {
	d.t.Helper()
	s := Sample{At: time.Now(), InterfaceBytes: make(map[string]float64)}
	for _, e := range d.Entries {
		d.addMetrics(&s, e.Admin)
	}
	if err := d.Call(http.MethodGet, d.Store.Address, "/calls", nil, &s.Store); err != nil {
		d.t.Fatal(err)
	}
	return s
}

func (d *Deployment) addMetrics(s *Sample, admin netip.AddrPort) {
	d.t.Helper()
	resp, err := http.Get("http://" + admin.String() + "/metrics")
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		s.add(name, v)
	}
}

func (s *Sample) add(name string, v float64) {
	switch {
	case name == "process_cpu_seconds_total":
		s.CPU += time.Duration(v * float64(time.Second))
	case name == "process_resident_memory_bytes":
		s.ResidentBytes += v
	case strings.HasPrefix(name, "rosemarygap_interface_bytes_total{"):
		_, rest, _ := strings.Cut(name, `interface="`)
		label, _, _ := strings.Cut(rest, `"`)
		s.InterfaceBytes[label] += v
	}
}
