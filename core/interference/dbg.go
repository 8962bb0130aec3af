package interference

import (
	"fmt"
	"math"
)

func (p *Policy) Effect(s, c string, b int) float64 { return p.model.effect(s, c, b, p.now) }

func (p *Policy) Dbg(s, v string) string {
	x := p.sites[siteKey{s, v}]
	if x == nil {
		return "?"
	}
	return fmt.Sprintf("%.2f%v", math.Exp(x.predicted), map[bool]string{true: "K", false: "-"}[x.kept])
}
func (p *Policy) Kept(s, v string) bool { x := p.sites[siteKey{s, v}]; return x != nil && x.kept }
