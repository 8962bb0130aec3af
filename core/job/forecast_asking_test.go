package job

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An entry that sends a message every 10 ms, while answers take 100 ms, receives at
// most 1 kB of forecasts a second, of any size, and has one that it trusts at all times
// after the first. Otherwise messages that are under way at a time would all ask.
func TestForecastBytesPerSecond(t *testing.T) {
	const answerTime, seconds = 100 * time.Millisecond, 20
	for _, queues := range []int{0, 1, 6, maxQueues} {
		is := is.New(t)
		begin := time.Unix(1000, 0)
		a, f, cfg := NewAdmission(), fullForecast(), &Configuration{}
		f.Queues = nil
		for range maxShapes - 1 {
			f.Workers = append(f.Workers, f.Workers[:shapeRecord]...)
		}
		for i := range queues {
			cfg.Queues = append(cfg.Queues, Queue{Host: "host", Prefix: string(rune('a' + i))})
			f.Queues = (&queueForecast{queue: hashName(cfg.Queues[i].ID()), rate: 100, ratio: 1, lateShare: 1}).append(f.Queues)
		}
		b, err := json.Marshal(&f)
		is.NoErr(err)
		is.True(len(b) <= f.size())
		received, asked := 0, []time.Time(nil)
		for now := begin; now.Sub(begin) < seconds*time.Second; now = now.Add(10 * time.Millisecond) {
			if len(asked) > 0 && now.Sub(asked[0]) >= answerTime {
				is.NoErr(a.Receive(&f, asked[0], now, 3, cfg))
				received, asked = received+len(b), asked[1:]
			}
			is.True(received == 0 || Age(a.madeAt, now) <= MaxForecastAge)
			if a.AskForecast(now) {
				asked = append(asked, now)
			}
		}
		is.True(received >= seconds/2*len(b))
		is.True(received <= maxForecastRate*seconds+len(b)) // with the first
	}
}
