package commandline

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var metricNameRE = regexp.MustCompile("[\"`](rosemarygap_[a-z_]+)")

// TestMetricsPage checks that docs/METRICS.md lists exactly the metrics that the
// code uses. It skips the test substitutes in io/standin, and the catalogue itself
// in core/metric.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := metricNames(string(page))
	used := map[string]bool{}
	err = filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			strings.Contains(path, "/standin/") || strings.Contains(path, "/core/metric/") {
			return err
		}
		b, err := os.ReadFile(path)
		for name := range metricNames(string(b)) {
			used[name] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(used) == 0 {
		t.Fatal("found no metrics in the code")
	}
	for name := range used {
		if !documented[name] {
			t.Errorf("docs/METRICS.md does not list %s", name)
		}
	}
	for name := range documented {
		if !used[name] {
			t.Errorf("docs/METRICS.md lists %s, which the code does not use", name)
		}
	}
}

func metricNames(text string) map[string]bool {
	out := map[string]bool{}
	for _, m := range metricNameRE.FindAllStringSubmatch(text, -1) {
		out[m[1]] = true
	}
	return out
}
