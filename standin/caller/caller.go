// Package caller stands in for the callers: an open loop of requests at a fixed mean
// rate with random gaps, whatever the answers, with callers that may retry hard.
package caller

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/standin/backend"
)

// Settings describe one stream of requests.
type Settings struct {
	Name     string
	URLs     []string // of daemons' caller listeners, used in turn
	Method   string
	Domain   string // Host header
	Path     string
	Key      string
	Rate     float64 // requests per second
	Duration time.Duration
	Retries  int           // further tries of a caller whose request failed
	Patience time.Duration // longest wait for one answer
	Body     string
}

const (
	// retryPause is a hard-retrying caller's pause between its tries.
	retryPause = 20 * time.Millisecond
	// maxLatency bounds the histogram, in microseconds.
	maxLatency = 60_000_000
	// seed makes the gaps between requests the same in each run.
	seed = 1
	// workers bounds the requests of one stream that are under way.
	workers = 4000
)

// Result is what a stream of requests saw.
type Result struct {
	Sent     int            // requests, each with all of its tries
	Tries    int            // tries sent
	Answered int            // whole answers with status 200
	Inside   int            // answered on the first try
	Refused  map[string]int // final refusals by reason
	NotRun   []string       // runs that were told not-run and then given up
	Lost     int            // tries without a whole answer
	Seconds  []int          // answers by the second in which they came
	Begun    []int          // requests by the second in which they began
	Good     []int          // of these, those that were answered
	Latency  *hdrhistogram.Histogram
}

// Caller sends one stream of requests.
type Caller struct {
	settings Settings
	clock    catkinrun.Clock
	client   *http.Client

	mu     sync.Mutex
	begun  time.Time
	result Result
}

// New returns a caller.
func New(settings Settings, clock catkinrun.Clock, client *http.Client) *Caller {
	return &Caller{settings: settings, clock: clock, client: client, result: Result{
		Refused: make(map[string]int),
		Latency: hdrhistogram.New(1, maxLatency, 3),
	}}
}

// Run sends the stream and returns its result.
func (c *Caller) Run(ctx context.Context) Result {
	c.begun = c.clock.Now()
	var requests errgroup.Group
	requests.SetLimit(workers)
	total := int(c.settings.Rate * c.settings.Duration.Seconds())
	random := rand.New(rand.NewPCG(seed, hash(c.settings.Name)))
	due := c.begun
	for i := range total {
		gap := random.ExpFloat64() / c.settings.Rate
		due = due.Add(time.Duration(gap * float64(time.Second)))
		if c.clock.Wait(ctx, due.Sub(c.clock.Now())) != nil {
			break
		}
		requests.Go(func() error {
			c.request(ctx, i)
			return nil
		})
	}
	_ = requests.Wait()
	return c.result
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// try is the end of one try.
type try struct {
	status  int
	reason  string
	outcome string
	whole   bool
}

func (c *Caller) request(ctx context.Context, i int) {
	run := fmt.Sprintf("%s-%d", c.settings.Name, i)
	startedAt := c.clock.Now()
	var last try
	notRun := true
	tries := 0
	for ; tries <= c.settings.Retries; tries++ {
		if tries > 0 && c.clock.Wait(ctx, retryPause) != nil {
			break
		}
		last = c.try(ctx, run, i+tries)
		notRun = notRun && last.outcome == string(catkinrun.NotRun)
		if last.whole && last.status == http.StatusOK {
			break
		}
	}
	c.record(run, last, tries, notRun, startedAt)
}

func (c *Caller) try(ctx context.Context, run string, turn int) try {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Patience)
	defer cancel()
	url := c.settings.URLs[turn%len(c.settings.URLs)] + c.settings.Path
	request, err := http.NewRequestWithContext(ctx, c.settings.Method, url, strings.NewReader(c.settings.Body))
	if err != nil {
		return try{reason: "bad-url"}
	}
	request.Header.Set(backend.RunHeader, run)
	if c.settings.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.settings.Key)
	}
	request.Host = c.settings.Domain
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", run, turn))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.settings.Patience.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return try{reason: "no-answer"}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return try{
		status:  response.StatusCode,
		reason:  response.Header.Get(filterer.ReasonHeader),
		outcome: response.Header.Get(filterer.OutcomeHeader),
		whole:   err == nil && (response.StatusCode != http.StatusOK || strings.Contains(string(body), run)),
	}
}

func (c *Caller) record(run string, last try, tries int, notRun bool, startedAt time.Time) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.result
	r.Sent++
	countSecond(&r.Begun, startedAt.Sub(c.begun))
	r.Tries += min(tries+1, c.settings.Retries+1)
	if !last.whole {
		r.Lost++
	}
	if !last.whole || last.status != http.StatusOK {
		reason := last.reason
		if reason == "" {
			reason = fmt.Sprintf("status-%d", last.status)
		}
		r.Refused[reason]++
		if notRun {
			r.NotRun = append(r.NotRun, run)
		}
		return
	}
	r.Answered++
	if tries == 0 {
		r.Inside++
	}
	_ = r.Latency.RecordValue(min(now.Sub(startedAt).Microseconds(), maxLatency))
	countSecond(&r.Good, startedAt.Sub(c.begun))
	countSecond(&r.Seconds, now.Sub(c.begun))
}

func countSecond(counts *[]int, at time.Duration) {
	second := int(at.Seconds())
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}
	(*counts)[second]++
}
