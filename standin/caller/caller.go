// Package caller is a stand-in for callers. It generates open-loop load: requests at a
// fixed mean rate with random gaps, independent of the responses. Its callers can retry
// aggressively.
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
	Name       string
	URLs       []string // of daemons' caller listeners, used in rotation
	Method     string
	Domain     string // Host header
	Path       string
	Key        string
	Rate       float64 // requests per second
	Duration   time.Duration
	MaxRetries int           // further attempts of a request that failed
	Timeout    time.Duration // longest wait for the response to one attempt
	Body       string
}

const (
	// retryDelay is the delay between a caller's attempts of one request, short to act as
	// an aggressive retrier.
	retryDelay = 20 * time.Millisecond
	// maxLatencyMicros is the highest latency in the histogram; higher ones count as this
	// value.
	maxLatencyMicros = 60_000_000
	// seed makes the gaps between requests the same in each run.
	seed = 1
	// maxConcurrent bounds the concurrent requests of one stream.
	maxConcurrent = 4000
)

// Result is the result of one stream of requests.
type Result struct {
	Sent                 int // requests, each counted once with all of its attempts
	Attempts             int
	Answered             int            // requests with a complete response of status 200
	AnsweredFirstAttempt int            // requests answered on the first attempt
	Failed               map[string]int // failed requests by the reason of the last attempt
	NotRun               []string       // names of failed requests whose attempts all had the outcome not-run
	Lost                 int            // requests whose last attempt got no complete response
	AnsweredBySecond     []int          // answered requests by the second of the response
	SentBySecond         []int          // requests by the second of the first attempt
	AnsweredBySendSecond []int          // answered requests by the second of the first attempt
	Latency              *hdrhistogram.Histogram
}

// Caller sends one stream of requests.
type Caller struct {
	settings Settings
	clock    catkinrun.Clock
	client   *http.Client

	mu        sync.Mutex
	startedAt time.Time
	result    Result
}

// New returns a caller.
func New(settings Settings, clock catkinrun.Clock, client *http.Client) *Caller {
	return &Caller{settings: settings, clock: clock, client: client, result: Result{
		Failed:  make(map[string]int),
		Latency: hdrhistogram.New(1, maxLatencyMicros, 3),
	}}
}

// Run sends the stream and returns its result.
func (c *Caller) Run(ctx context.Context) Result {
	c.startedAt = c.clock.Now()
	var requests errgroup.Group
	requests.SetLimit(maxConcurrent)
	total := int(c.settings.Rate * c.settings.Duration.Seconds())
	random := rand.New(rand.NewPCG(seed, hash(c.settings.Name)))
	sendAt := c.startedAt
	for i := range total {
		gap := random.ExpFloat64() / c.settings.Rate
		sendAt = sendAt.Add(time.Duration(gap * float64(time.Second)))
		if c.clock.Wait(ctx, sendAt.Sub(c.clock.Now())) != nil {
			break
		}
		requests.Go(func() error {
			c.send(ctx, i)
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

// attemptResult is the result of one attempt.
type attemptResult struct {
	status   int
	reason   string
	outcome  string
	complete bool
}

func (c *Caller) send(ctx context.Context, i int) {
	name := fmt.Sprintf("%s-%d", c.settings.Name, i)
	startedAt := c.clock.Now()
	var last attemptResult
	alwaysNotRun := true
	failedAttempts := 0
	for ; failedAttempts <= c.settings.MaxRetries; failedAttempts++ {
		if failedAttempts > 0 && c.clock.Wait(ctx, retryDelay) != nil {
			break
		}
		last = c.attempt(ctx, name, i+failedAttempts)
		alwaysNotRun = alwaysNotRun && last.outcome == string(catkinrun.OutcomeNotRun)
		if last.complete && last.status == http.StatusOK {
			break
		}
	}
	c.record(name, last, failedAttempts, alwaysNotRun, startedAt)
}

func (c *Caller) attempt(ctx context.Context, name string, index int) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	url := c.settings.URLs[index%len(c.settings.URLs)] + c.settings.Path
	request, err := http.NewRequestWithContext(ctx, c.settings.Method, url, strings.NewReader(c.settings.Body))
	if err != nil {
		return attemptResult{reason: "bad-url"}
	}
	request.Header.Set(backend.RequestNameHeader, name)
	if c.settings.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.settings.Key)
	}
	request.Host = c.settings.Domain
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", name, index))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.settings.Timeout.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return attemptResult{reason: "no-answer"}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return attemptResult{
		status:   response.StatusCode,
		reason:   response.Header.Get(filterer.ReasonHeader),
		outcome:  response.Header.Get(filterer.OutcomeHeader),
		complete: err == nil && (response.StatusCode != http.StatusOK || strings.Contains(string(body), name)),
	}
}

func (c *Caller) record(name string, last attemptResult, failedAttempts int, alwaysNotRun bool, startedAt time.Time) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.result
	r.Sent++
	countSecond(&r.SentBySecond, startedAt.Sub(c.startedAt))
	r.Attempts += min(failedAttempts+1, c.settings.MaxRetries+1)
	if !last.complete {
		r.Lost++
	}
	if !last.complete || last.status != http.StatusOK {
		reason := last.reason
		if reason == "" {
			reason = fmt.Sprintf("status-%d", last.status)
		}
		r.Failed[reason]++
		if alwaysNotRun {
			r.NotRun = append(r.NotRun, name)
		}
		return
	}
	r.Answered++
	if failedAttempts == 0 {
		r.AnsweredFirstAttempt++
	}
	_ = r.Latency.RecordValue(min(now.Sub(startedAt).Microseconds(), maxLatencyMicros))
	countSecond(&r.AnsweredBySendSecond, startedAt.Sub(c.startedAt))
	countSecond(&r.AnsweredBySecond, now.Sub(c.startedAt))
}

func countSecond(counts *[]int, offset time.Duration) {
	second := int(offset.Seconds())
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}
	(*counts)[second]++
}
