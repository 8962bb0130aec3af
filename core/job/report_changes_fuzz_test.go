package job

import (
	"testing"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

func fuzzBase() *Report {
	return &Report{Agent: "a", Process: 7, Epoch: 1, Listed: true, Worker: &Worker{ID: "i", Incarnation: 1},
		Running: []Run{{Task: "t0", Run: 1}, {Task: "t1", Run: 1, Checkpoint: "c"}, {Task: "t2", Run: 3}},
		Ended:   []End{{Number: 4, Task: "e", Run: 1, Outcome: EndDone}, {Number: 6, Task: "f", Run: 1, Outcome: EndFailed}}}
}

// FuzzReportChanges checks that any body of a delta is refused with a specific code, or
// gives a report that a delta can express. A panic would end the request without a code.
func FuzzReportChanges(f *testing.F) {
	for _, parts := range []string{
		``,
		`,"removed":[0,2],"ended-up-to":4,"ended":[{"number":7,"task":"t2","run":3,"how":"done"}]`,
		`,"changed":[0,50,0,1,2,60,700,0],"checkpoint-indices":[1],"checkpoints":["d"]`,
		`,"positions":[0,4],"added":[{"task":"s","run":1,"percent":0},{"task":"u","run":1,"percent":0}],"unknown-traits":["s"]`,
		`,"worker":{"id":"i","incarnation":1,"service":"svc","address":"","zone":"z","capacity":{},"sequence":0,"clock-ns":0}`,
		`,"absent":[{"task":"x","run":1,"reason":"draining"}],"known-interference":18446744073709551615`,
		`,"removed":[-1,9223372036854775807]`,
		`,"positions":[9],"added":[{"task":"s","run":1,"percent":0}]`,
		`,"changed":[0,1,1]`,
	} {
		f.Add([]byte(`{"number":2,"base":1,"agent":"a","process":7,"epoch":1,"applied":0,"listed":true,"sequence":1` + parts + `}`))
	}
	f.Add([]byte(`{"base":1,"agent":"a","process":7,"epoch":1,"wait":true,"applied":3,"sequence":1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var d ReportChanges
		err := wire.Unmarshal(b, &d)
		bases := ReportBases{process: 7, newest: numberedReport{1, fuzzBase()}}
		var r *Report
		if err == nil {
			r, err = bases.Expand(&d)
		}
		if err != nil {
			if status.CodeOf(err) == status.ErrInternal.Code() {
				t.Fatalf("refused without a specific code: %v", err)
			}
			return
		}
		if encode(t, bases.newest.report) != encode(t, fuzzBase()) {
			t.Fatal("the base has changed")
		}
		again, ok := CompareReports(fuzzBase(), r)
		if !ok {
			t.Fatalf("no delta expresses %s", encode(t, r))
		}
		repeated, err := again.Apply(fuzzBase())
		if err != nil || encode(t, repeated) != encode(t, r) {
			t.Fatalf("got %s, want %s: %v", encode(t, repeated), encode(t, r), err)
		}
	})
}
