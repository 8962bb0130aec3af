package worker

import (
	"errors"
	"testing"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
)

// Every input is either accepted as a job or refused with an error that has a
// status code.
func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"id":"build-1","team":"press","batch-class":"build","need":{"processors-milli":1000,"memory-mib":512,"accelerators":0,"slots":1},"run-time":"10m"}`))
	f.Add([]byte(`{"id":"build-1","run-time":10}`))
	f.Add([]byte(`{"id":"","need":{"processors-milli":-1}}`))
	f.Add([]byte(`{"id":"a","extra":1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var j Job
		err := wire.Unmarshal(b, &j)
		if err == nil {
			err = j.Check()
		}
		if err != nil && status.CodeOf(err) == status.ErrInternal.Code() && !errors.Is(err, status.ErrInternal) {
			t.Fatalf("the job was refused with an error without a status code: %v", err)
		}
	})
}
