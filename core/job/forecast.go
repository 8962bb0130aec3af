package job

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Errors for a forecast that an entry ignores.
var (
	ErrForecastMalformed = errors.New("malformed-forecast")
	ErrForecastFuture    = errors.New("forecast-from-the-future")
	ErrForecastStale     = errors.New("stale-forecast")
	ErrForecastEpoch     = errors.New("forecast-of-an-older-epoch")
	ErrForecastQueueGone = errors.New("forecast-of-an-unknown-queue")
)

// Forecast tells the entries when new jobs would end. The records of the queues and
// of the workers are binary, since the JSON of 45 queues would exceed 1 kB.
type Forecast struct {
	Epoch int64 `json:"epoch"`
	// Age is the age of the forecast when it was sent.
	Age time.Duration `json:"age-ns"`
	// Entries is the number of entries that ask for forecasts, by which the returns
	// of refused jobs are spread.
	Entries int    `json:"entries"`
	Queues  []byte `json:"queues,omitempty"`
	Workers []byte `json:"workers,omitempty"`
}

// queueForecast is the forecast for new jobs of a queue.
type queueForecast struct {
	// queue is the hash of the ID of the queue.
	queue uint32
	// bestEffort is the kind of tasks that the forecast is for.
	bestEffort bool
	// wait is the time until the work ahead of a new job has drained; 0 means that
	// there is room for it.
	wait time.Duration
	// rate is the number of processors that the tasks of the queue can get.
	rate float64
	// ratio is the learned ratio of run times to estimates.
	ratio float64
	// lateShare is the share of the rate that jobs of the queue get once they are
	// late. They yield to jobs on time that arrive later.
	lateShare float64
	// overload is how much longer lateShare is expected to apply: as long as more work
	// has arrived than drains. Afterwards, late jobs get the whole rate.
	overload time.Duration
	// threshold is the lowest level of lateness at which jobs are refused, or 0 if
	// there is too little evidence that such jobs come to nothing.
	threshold lateness
}

// workerShape describes the workers of a service with the same capacity.
type workerShape struct {
	service  uint32
	count    int
	capacity Resources
	// labels is a bit set of the hashes of the labels. A label whose bit is not set
	// is on none of the workers.
	labels uint64
}

// Sizes of the records in bytes, and their limits. 45 queues and maxShapes shapes
// take less than 1 kB in JSON. If there are more shapes, the forecast has none, and
// no job is refused for its needs.
const (
	queueRecord = 12
	shapeRecord = 28
	maxQueues   = 45
	maxShapes   = 5
	// waitUnit is the unit of the encoded wait, which is at most 655 s, and
	// overloadUnit that of the encoded duration of an overload, at most 63 s.
	waitUnit     = 10 * time.Millisecond
	overloadUnit = 250 * time.Millisecond
	// bestEffortBit marks a rate of best-effort tasks.
	bestEffortBit = 1 << 15
	percent       = 100
	// The ratio has 12 bits, in units of 1/ratioUnit, below the threshold.
	ratioUnit = 64
	ratioBits = 12
	maxRatio  = 1<<ratioBits - 1
	// thresholdBit marks the byte of the late share in a record with a threshold.
	// Builds without thresholds take such a record for malformed and refuse nothing,
	// and records without the bit are ignored here.
	thresholdBit = 1 << 7
	// minLateShare bounds the wait of late jobs.
	minLateShare = 0.01
	labelBits    = 64
)

// hashName returns the hash by which a forecast names a queue, service or label.
func hashName(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

func labelBit(label string) uint64 { return 1 << (hashName(label) % labelBits) }

// saturate returns v rounded to the nearest integer between least and most.
func saturate(v, least, most float64) uint16 {
	return uint16(math.Round(min(max(v, least), most)))
}

func (f *queueForecast) append(b []byte) []byte {
	rate := saturate(f.rate, 1, bestEffortBit-1)
	if f.bestEffort {
		rate |= bestEffortBit
	}
	b = binary.BigEndian.AppendUint32(b, f.queue)
	b = binary.BigEndian.AppendUint16(b, saturate(float64(f.wait)/float64(waitUnit), 0, math.MaxUint16))
	b = binary.BigEndian.AppendUint16(b, rate)
	b = binary.BigEndian.AppendUint16(b, saturate(f.ratio*ratioUnit, 1, maxRatio)|uint16(f.threshold)<<ratioBits)
	return append(b, thresholdBit|byte(saturate(f.lateShare*percent, minLateShare*percent, percent)),
		byte(saturate(float64(f.overload)/float64(overloadUnit), 0, math.MaxUint8)))
}

func decodeQueueForecast(b []byte) (queueForecast, error) {
	rate, ratio := binary.BigEndian.Uint16(b[6:]), binary.BigEndian.Uint16(b[8:])
	q := queueForecast{queue: binary.BigEndian.Uint32(b), bestEffort: rate&bestEffortBit != 0,
		wait: time.Duration(binary.BigEndian.Uint16(b[4:])) * waitUnit,
		rate: float64(rate &^ bestEffortBit), ratio: float64(ratio&maxRatio) / ratioUnit, threshold: lateness(ratio >> ratioBits),
		lateShare: float64(b[10]&^thresholdBit) / percent, overload: time.Duration(b[11]) * overloadUnit}
	if b[10]&thresholdBit == 0 || q.rate == 0 || q.ratio == 0 || q.lateShare < minLateShare || q.lateShare > 1 {
		return q, errors.WithMessage(ErrForecastMalformed, "rate, ratio or share out of range")
	}
	return q, nil
}

func (s *workerShape) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, s.service)
	b = binary.BigEndian.AppendUint16(b, saturate(float64(s.count), 0, math.MaxUint16))
	b = binary.BigEndian.AppendUint16(b, saturate(float64(s.capacity.Accelerators), 0, math.MaxUint16))
	b = binary.BigEndian.AppendUint32(b, uint32(min(s.capacity.Processors, math.MaxUint32)))
	b = binary.BigEndian.AppendUint64(b, uint64(s.capacity.Memory))
	return binary.BigEndian.AppendUint64(b, s.labels)
}

func decodeWorkerShape(b []byte) workerShape {
	return workerShape{service: binary.BigEndian.Uint32(b), count: int(binary.BigEndian.Uint16(b[4:])),
		capacity: Resources{Accelerators: int(binary.BigEndian.Uint16(b[6:])), Processors: int(binary.BigEndian.Uint32(b[8:])),
			Memory: int64(binary.BigEndian.Uint64(b[12:]))},
		labels: binary.BigEndian.Uint64(b[20:])}
}

// decode returns the records of the forecast.
func (f *Forecast) decode() (map[uint32]queueForecast, []workerShape, error) {
	if len(f.Queues)%queueRecord != 0 || len(f.Workers)%shapeRecord != 0 || f.Epoch <= 0 || f.Entries < 1 {
		return nil, nil, ErrForecastMalformed
	}
	queues := make(map[uint32]queueForecast, len(f.Queues)/queueRecord)
	for b := f.Queues; len(b) > 0; b = b[queueRecord:] {
		q, err := decodeQueueForecast(b)
		if err != nil {
			return nil, nil, err
		}
		queues[q.queue] = q
	}
	var shapes []workerShape
	for b := f.Workers; len(b) > 0; b = b[shapeRecord:] {
		shapes = append(shapes, decodeWorkerShape(b))
	}
	return queues, shapes, nil
}
