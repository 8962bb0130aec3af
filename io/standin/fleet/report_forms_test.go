package fleet

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	processes "rosemarygap/io/process"
)

var reportCounter = regexp.MustCompile(`rosemarygap_reports_total\{form="(\w+)"\} (\d+)`)

// countReports returns the reports that the running schedulers have counted, by form.
func (d *deployment) countReports() map[string]int {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	out := map[string]int{}
	for _, p := range d.schedulers {
		response, err := client.Get(fmt.Sprintf("http://%s/metrics", addrPort(p.ip, processes.MetricsPort)))
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for _, m := range reportCounter.FindAllSubmatch(b, -1) {
			n, _ := strconv.Atoi(string(m[2]))
			out[string(m[1])] += n
		}
	}
	return out
}

// checkReportForms checks that some agents sent delta reports and others whole ones.
// Otherwise, the run would prove nothing about either. An owner of an earlier build
// accepts no delta reports.
func (r *testRun) checkReportForms() {
	forms := r.countReports()
	r.t.Logf("reports by form: %v", forms)
	if *earlierBuild == "" && (forms["changes"] == 0 || forms["whole"] == 0) {
		r.t.Errorf("reports by form: %v, want whole and changes", forms)
	}
}
