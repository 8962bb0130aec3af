package commandline

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"rosemarygap/core/status"
	"rosemarygap/io/golden"
	"rosemarygap/io/process"

	"github.com/matryer/is"
)

func TestGoldenSettingsPage(t *testing.T) {
	golden.Check(t, "../../docs/SETTINGS.md", SettingsPage())
}

// TestGoldenHelp compares the help texts of the program and of every subcommand
// with the golden file.
func TestGoldenHelp(t *testing.T) {
	var out bytes.Buffer
	is.New(t).Equal(Run([]string{"--help"}, &out, &out), process.ExitOK)
	p := reflect.TypeFor[Program]()
	for i := range p.NumField() {
		name := subcommandName(p.Field(i))
		fmt.Fprintf(&out, "\n==== %s\n\n", name)
		is.New(t).Equal(Run([]string{name, "--help"}, &out, &out), process.ExitOK)
	}
	golden.Check(t, "testdata/help.txt", out.Bytes())
}

// TestInvalidSettingNamesFlagAndValue checks that every invalid setting gives exit
// code 2 and an error with its flag and value.
func TestInvalidSettingNamesFlagAndValue(t *testing.T) {
	entry := "entry --id a --zone z --caller-listen 127.0.0.1:1 --peer-listen 127.0.0.1:2" +
		" --operator-listen 127.0.0.1:3 --admin-listen 127.0.0.1:4 --platform 127.0.0.1:5 "
	for _, c := range []struct{ args, path, value string }{
		{"jobs", "ROSEMARYGAP_ENTRY", ""},
		{"jobs --entry 127.0.0.1:0", "--entry", "127.0.0.1:0"},
		{"jobs --entry localhost", "--entry", "localhost"},
		{"jobs --entry 127.0.0.1:1 --colour red", "--colour", "red"},
		{"apply x.json --entry 127.0.0.1:1 --revision -2", "--revision", "-2"},
		{"apply x.json --entry 127.0.0.1:1 --wait-limit 0s", "--wait-limit", "0s"},
		{"drain Worker --entry 127.0.0.1:1", "WORKER", "Worker"},
		{"evacuate Kelowna --entry 127.0.0.1:1", "ZONE", "Kelowna"},
		{"events --entry 127.0.0.1:1 --event 10000", "--event", "10000"},
		{"events --entry 127.0.0.1:1 --after -1", "--after", "-1"},
		{"scheduler --settings none --copies maybe", "--copies", "maybe"},
		{entry + "--lease-ttl 999ms", "--lease-ttl", "999ms"},
		{entry + "--stop-limit 11m", "--stop-limit", "11m0s"},
		{"scheduler --settings none --admission strict", "--admission", "strict"},
		{"scheduler --settings x --failover soon", "--failover", "soon"},
		{"scheduler --settings x --fair-shares queue", "--fair-shares", "queue"},
		{"agent --settings x --reports some", "--reports", "some"},
		{entry + "--log-level loud", "--log-level", "loud"},
		{strings.Replace(entry, "127.0.0.1:3", "0.0.0.0:3", 1), "--operator-token", ""},
	} {
		is := is.New(t)
		var out, errs bytes.Buffer
		is.Equal(Run(strings.Fields(c.args), &out, &errs), process.ExitUsage)
		want := fmt.Sprintf("code=bad-setting path=%q value=%q detail=", c.path, c.value)
		if !strings.HasPrefix(errs.String(), want) {
			t.Errorf("%s: got %s want %s", c.args, errs.String(), want)
		}
		is.Equal(out.Len(), 0)
	}
}

// TestEveryCodeHasAnExitCode checks that every status error maps to a documented
// exit code, and that only status.ErrInternal maps to process.ExitFailed.
func TestEveryCodeHasAnExitCode(t *testing.T) {
	is := is.New(t)
	for _, e := range status.All() {
		got := exitCode(status.At(e, "path", "value"))
		is.True(got >= process.ExitFailed && got <= process.ExitTryLater)
		is.Equal(got == process.ExitFailed, e == status.ErrInternal)
		is.Equal(exitCode(status.RetryIn(e, pollInterval)) == process.ExitTryLater || got == process.ExitConflict || got == process.ExitUsage, true)
	}
	is.Equal(exitCode(nil), process.ExitOK)
	is.Equal(exitCode(status.ErrConfigConflict), process.ExitConflict)
	is.Equal(exitCode(status.ErrConfigInvalid), process.ExitRefused)
	is.Equal(exitCode(status.ErrStoreUnavailable), process.ExitTryLater)
}

// The switches of the scheduler are off unless they are given, and apply where they are.
func TestSchedulerSwitches(t *testing.T) {
	for value, options := range map[string]int{"off": 0, "on": 1} {
		c := SchedulerCommand{Copies: value}
		is.New(t).Equal(len(c.options()), options)
	}
}
