package operator

import (
	"testing"

	core "rosemarygap/core/operator"

	"github.com/matryer/is"
)

// A number with leading zeros in one field of a form must not discard the rest of the
// document: it must be read as that number or reported as a fault of that field.
// JSON doesn't allow leading zeros, so encoding the text as a JSON number fails.
func TestNumberWithLeadingZerosIsKept(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	_, page := b.do("GET", "/config", nil)
	form := formValues(t, page)
	form.Set(quotaField, "007")
	d, faults := core.Parse(documentFromForm(form))
	for _, f := range faults {
		if f.Path != quotaField {
			t.Fatalf("fault %s at %q, want faults only at %s", f.Code, f.Path, quotaField)
		}
	}
	is.True(len(d.Teams) > 0)
	memory := &d.Teams[0].Quota.Memory
	if len(faults) == 0 {
		is.Equal(*memory, int64(7))
	}
	*memory = ctl.config.Document.Teams[0].Quota.Memory
	is.Equal(core.Diff(&ctl.config.Document, d), nil) // all other fields are kept
}
