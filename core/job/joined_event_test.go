package job

import (
	"testing"
	"time"
)

// The event of a worker's first report carries an age from 0 to the age of that
// report. An event that is logged before the time of the report is recorded
// carries the time since the year 1 instead, limited to the longest duration.
func TestJoinedEventHasReportAge(t *testing.T) {
	tc := newTestCluster(t, 0)
	w := tc.addWorker("agent-0")
	received := tc.now
	tc.now = tc.now.Add(20 * time.Millisecond)
	tc.deliverReport(w.report.Agent)
	joined := 0
	for _, e := range tc.Events() {
		if e.Kind != EventWorker || e.Reason != "joined" {
			continue
		}
		joined++
		tc.is.Equal(e.Worker, w.report.Worker.ID)
		if age := tc.now.Sub(received); e.ReportAge < 0 || e.ReportAge > age {
			t.Errorf("event joined has report age %v, want 0 to %v", e.ReportAge, age)
		}
	}
	tc.is.Equal(joined, 1)
}
