package job

import (
	"testing"

	"github.com/matryer/is"
)

// Load: two filling images beside two serving ones; only one pair is harmful.
// The harmless partner of the culprit must not be blamed for long.
func TestCulpritIsFound(t *testing.T) {
	is := is.New(t)
	m := newPressureModel()
	for range 20 {
		m.observe("feeds", 2.5, usage{"heavy": 2, "light": 2})
		m.observe("feeds", 0.5, usage{"light": 3})
		m.observe("watch", 0.5, usage{"heavy": 3})
	}
	is.True(m.predict("feeds", usage{"heavy": 1}) > 0.5)  // the culprit
	is.True(m.predict("feeds", usage{"light": 1}) < 0.15) // its partner
	is.True(m.predict("watch", usage{"heavy": 1}) < 0.05) // another victim
}

// The tail without pressure follows what is seen.
func TestCalmTailIsLearnt(t *testing.T) {
	is := is.New(t)
	m := newPressureModel()
	for range 200 {
		m.observe("feeds", 0.2, usage{})
	}
	is.True(m.calmOf("feeds") < 0.25)
}
