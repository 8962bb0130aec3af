package delay

import (
	"fmt"
	"html"
	"io"
	"strings"
	"time"
)

// Sizes of the picture, in pixels.
const (
	pictureWidth = 900
	labelWidth   = 260
	barHeight    = 22
	rowHeight    = 34
	chartHeight  = 160
	margin       = 20
)

// Colours of the parts of the time, and of the lines of the chart.
var (
	partNames   = [...]string{"to first start", "to last start", "repeated", "running"}
	partColours = [...]string{"#d95f02", "#e6ab02", "#7570b3", "#1b9e77"}
)

const (
	waitingColour = "#d95f02"
	freeColour    = "#1b9e77"
)

func (p Parts) list() [4]time.Duration {
	return [...]time.Duration{p.ToFirst, p.Spread, p.Repeated, p.Running}
}

func (p Parts) total() time.Duration { return p.ToFirst + p.Spread + p.Repeated + p.Running }

// WriteSVG writes a picture of the report: a bar a queue with the parts of the mean time of
// its done jobs, and a chart of the waiting tasks and the unused processors over time.
func (r *Report) WriteSVG(w io.Writer) error {
	var b strings.Builder
	height := 2*margin + rowHeight*(len(r.Queues)+1) + chartHeight + rowHeight
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="13">`+"\n", pictureWidth, height)
	r.writeBars(&b)
	r.writeRoom(&b, 2*margin+rowHeight*(len(r.Queues)+1))
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) writeBars(b *strings.Builder) {
	longest := time.Second
	for _, q := range r.Queues {
		longest = max(longest, q.Mean.total())
	}
	for i, name := range partNames {
		x := labelWidth + i*140
		fmt.Fprintf(b, `<rect x="%d" y="%d" width="12" height="12" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n", x, margin-10, partColours[i], x+18, margin+1, name)
	}
	for n, q := range r.Queues {
		y := margin + rowHeight/2 + n*rowHeight
		fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", margin, y+barHeight*2/3, html.EscapeString(q.Queue))
		x := float64(labelWidth)
		for i, d := range q.Mean.list() {
			width := d.Seconds() / longest.Seconds() * (pictureWidth - labelWidth - 5*margin)
			fmt.Fprintf(b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", x, y, width, barHeight, partColours[i])
			x += width
		}
		fmt.Fprintf(b, `<text x="%.1f" y="%d">%s</text>`+"\n", x+6, y+barHeight*2/3, seconds(q.Mean.total()))
	}
}

// writeRoom writes the chart of the room below y.
func (r *Report) writeRoom(b *strings.Builder, y int) {
	if len(r.Room) < 2 {
		return
	}
	begin, most := r.Room[0].At, 1
	length := r.Room[len(r.Room)-1].At.Sub(begin)
	for _, s := range r.Room {
		most = max(most, s.Waiting)
	}
	var waiting, free strings.Builder
	for _, s := range r.Room {
		x := margin + s.At.Sub(begin).Seconds()/length.Seconds()*(pictureWidth-2*margin)
		fmt.Fprintf(&waiting, "%.1f,%.1f ", x, float64(y)+chartHeight*(1-float64(s.Waiting)/float64(most)))
		fmt.Fprintf(&free, "%.1f,%.1f ", x, float64(y)+chartHeight*(1-min(1, s.Free)))
	}
	line := `<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>` + "\n"
	fmt.Fprintf(b, line, waitingColour, strings.TrimSpace(waiting.String()))
	fmt.Fprintf(b, line, freeColour, strings.TrimSpace(free.String()))
	fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">waiting tasks, at most %d</text>`+"\n", margin, y+chartHeight+margin, waitingColour, most)
	fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">unused processors, of all</text>`+"\n", labelWidth, y+chartHeight+margin, freeColour)
	fmt.Fprintf(b, `<text x="%d" y="%d">%s in all</text>`+"\n", 2*labelWidth, y+chartHeight+margin, seconds(length))
}
