package main

import (
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/stand/starter"
)

const (
	maxLatencyMicros = int64(10 * time.Second / time.Microsecond)
	histogramDigits  = 3
	requestTimeout   = 10 * time.Second
	startTimeout     = time.Minute
	// addedLatencyLimitMs bounds the latency that the mesh adds at the 99th percentile.
	addedLatencyLimitMs = 1.7
	// maxRelayRatio bounds that latency in proportion to what two relays add.
	maxRelayRatio = 1.5
)

// latency compares the request path over two nodes with a direct call and with two plain
// relays. Rounds of the three paths alternate, so that other load on the machine affects
// all of them.
type latency struct {
	options          *options
	Callers          int `long:"callers" default:"16" description:"Concurrent callers"`
	Rounds           int `long:"rounds" default:"41" description:"Rounds of each request path"`
	RequestsPerRound int `long:"each" default:"250" description:"Requests of a caller in a round"`
}

// requestPath is one of the compared paths to the target, with its measurements.
type requestPath struct {
	name      string
	url       string
	histogram *hdrhistogram.Histogram
	p99sMs    []float64 // p99sMs holds the 99th percentile of each round, in milliseconds.
}

// Execute implements flags.Commander.
func (c *latency) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*startTimeout)
	defer cancel()
	folder, remove, err := buildPrograms()
	if err != nil {
		return err
	}
	defer remove()
	m := &starter.Mesh{Folder: folder, ProgramFolder: folder, ControlHostCount: 3, NodeCount: 2}
	defer m.KillAll()
	paths, err := c.start(ctx, m)
	if err != nil {
		return err
	}
	for round := range c.Rounds + 1 {
		for _, r := range paths {
			h, err := c.sendRound(r.url)
			if err != nil {
				return errors.WithMessage(err, r.name)
			}
			if round == 0 {
				continue // The first round warms up.
			}
			r.histogram.Merge(h)
			r.p99sMs = append(r.p99sMs, float64(h.ValueAtQuantile(99))/1000)
		}
	}
	return c.options.print(c.figures(paths))
}

// start starts the mesh, a target and the relays, and waits until all paths serve.
func (c *latency) start(ctx context.Context, m *starter.Mesh) ([]*requestPath, error) {
	if err := m.Start(ctx); err != nil {
		return nil, err
	}
	t, err := m.StartTarget(m.Nodes[1], "t1", "designs", "v1", "--slots", "64")
	if err != nil {
		return nil, err
	}
	if err := m.EditSection("designs", "services: [{name: designs, slots: 64}]\nroutes: [{path: /designs, methods: [GET], service: designs}]\n"); err != nil {
		return nil, err
	}
	second, err := m.StartRelay(t.Address)
	if err != nil {
		return nil, err
	}
	first, err := m.StartRelay(second.Address)
	if err != nil {
		return nil, err
	}
	paths := []*requestPath{
		{name: "direct", url: "http://" + t.Address + "/designs/1"},
		{name: "relays", url: "http://" + first.Address + "/designs/1"},
		{name: "mesh", url: "http://" + m.Nodes[0].EntryAddress + "/designs/1"},
	}
	for _, r := range paths {
		r.histogram = hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
		err := starter.WaitUntil(ctx, startTimeout, r.name, func() bool {
			status, _, err := starter.Get(r.url)
			return err == nil && status == fasthttp.StatusOK
		})
		if err != nil {
			return nil, err
		}
	}
	return paths, nil
}

// sendRound sends one round of requests from all callers and returns their latencies in
// microseconds. It fails if any request fails.
func (c *latency) sendRound(url string) (*hdrhistogram.Histogram, error) {
	client := &fasthttp.Client{MaxConnsPerHost: c.Callers}
	defer client.CloseIdleConnections()
	hists := make([]*hdrhistogram.Histogram, c.Callers)
	errs := make([]error, c.Callers)
	var callers conc.WaitGroup
	for i := range c.Callers {
		callers.Go(func() { hists[i], errs[i] = c.sendRequests(client, url) })
	}
	callers.Wait()
	sum := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	for i, h := range hists {
		if errs[i] != nil {
			return nil, errs[i]
		}
		sum.Merge(h)
	}
	return sum, nil
}

// sendRequests sends the requests of one caller in a round, one after another.
func (c *latency) sendRequests(client *fasthttp.Client, url string) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	for range c.RequestsPerRound {
		req.SetRequestURI(url)
		start := time.Now()
		if err := client.DoTimeout(req, resp, requestTimeout); err != nil {
			return nil, err
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return nil, errors.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
		}
		if err := h.RecordValue(time.Since(start).Microseconds()); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// figures returns the percentiles of each path, and the latency that relays and mesh add
// to the direct path, in ms. The last figure is the median ratio of the latency that
// the mesh adds to the latency that relays add.
func (c *latency) figures(paths []*requestPath) []figure {
	var list []figure
	for _, r := range paths {
		list = append(list,
			withoutTarget(r.name+" p50", float64(r.histogram.ValueAtQuantile(50))/1000, "ms"),
			withoutTarget(r.name+" p99, all rounds", float64(r.histogram.ValueAtQuantile(99))/1000, "ms"))
	}
	// The paths alternate, so the other load on the machine is similar for all paths of
	// one round, and each round gives one difference.
	var relays, mesh, ratio []float64
	for i, direct := range paths[0].p99sMs {
		relays = append(relays, paths[1].p99sMs[i]-direct)
		mesh = append(mesh, paths[2].p99sMs[i]-direct)
		ratio = append(ratio, mesh[i]/max(relays[i], 0.001))
	}
	return append(list,
		withoutTarget("relays added p99, median round", median(relays), "ms"),
		atMost("mesh added p99, median round", median(mesh), "ms", addedLatencyLimitMs),
		atMost("mesh added p99 over relays added p99, median round", median(ratio), "times", maxRelayRatio),
	)
}

// median returns the middle value, the higher one of an even number, or 0 without
// values. A single disturbed round does not change it much.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
