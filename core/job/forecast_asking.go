package job

import (
	"encoding/base64"
	"time"
)

// Limits of the requests of an entry for forecasts.
const (
	// maxForecastRate is the mean number of bytes of forecasts that an entry receives
	// in a second. Small forecasts arrive every ForecastInterval, and the largest, of
	// 1 kB, once a second, which is within MaxForecastAge.
	maxForecastRate = 1024
	// forecastOverhead is the most bytes of a forecast in JSON without its records.
	forecastOverhead = 112
)

// size returns the most bytes that the forecast takes in JSON.
func (f *Forecast) size() int {
	return forecastOverhead + base64.StdEncoding.EncodedLen(len(f.Queues)) + base64.StdEncoding.EncodedLen(len(f.Workers))
}

// interval returns the least time between two requests for forecasts of the size of f.
func (f *Forecast) interval() time.Duration {
	return max(ForecastInterval, time.Duration(f.size())*time.Second/maxForecastRate)
}

// AskForecast reports whether the entry should ask for a forecast with a message that
// it sends now. One message asks at a time, and after a lost answer the next one.
func (a *Admission) AskForecast(now time.Time) bool {
	if Age(a.askedAt, now) < a.interval {
		return false
	}
	a.askedAt = now
	return true
}
