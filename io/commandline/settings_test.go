package commandline

import (
	"testing"

	"rosemarygap/io/golden"
)

func TestGoldenSettingsPage(t *testing.T) {
	golden.Check(t, "../../docs/SETTINGS.md", SettingsPage())
}
