package metric_test

import (
	"testing"

	"rosemarygap/core/metric"
	"rosemarygap/io/golden"
)

func TestGoldenPage(t *testing.T) { golden.Check(t, "../../docs/METRICS.md", metric.Page()) }
