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
	maxLatency     = int64(10 * time.Second / time.Microsecond)
	latencyDigits  = 3
	requestTimeout = 10 * time.Second
	startTimeout   = time.Minute
	latencyLimit   = 1.7 // latencyLimit is in milliseconds.
	relayFactor    = 1.5
)

// latency compares the two-node road with a direct call and with two bare
// relays, taking turns so that all three see the same machine.
type latency struct {
	options *options
	Callers int `long:"callers" default:"16" description:"Callers at once"`
	Rounds  int `long:"rounds" default:"41" description:"Rounds of each road"`
	Each    int `long:"each" default:"250" description:"Requests of a caller in a round"`
}

// road is one way to the target.
type road struct {
	name string
	url  string
	hist *hdrhistogram.Histogram
	p99s []float64 // p99s holds one value in milliseconds for each round.
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
	roads, err := c.start(ctx, m)
	if err != nil {
		return err
	}
	for round := range c.Rounds + 1 {
		for _, r := range roads {
			h, err := c.drive(r.url)
			if err != nil {
				return errors.WithMessage(err, r.name)
			}
			if round == 0 {
				continue // The first round warms up.
			}
			r.hist.Merge(h)
			r.p99s = append(r.p99s, float64(h.ValueAtQuantile(99))/1000)
		}
	}
	return c.options.print(c.figures(roads))
}

// start brings up the mesh, the target and the relays.
func (c *latency) start(ctx context.Context, m *starter.Mesh) ([]*road, error) {
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
	roads := []*road{
		{name: "direct", url: "http://" + t.Address + "/designs/1"},
		{name: "relays", url: "http://" + first.Address + "/designs/1"},
		{name: "mesh", url: "http://" + m.Nodes[0].EntryAddress + "/designs/1"},
	}
	for _, r := range roads {
		r.hist = hdrhistogram.New(1, maxLatency, latencyDigits)
		err := starter.WaitUntil(ctx, startTimeout, r.name, func() bool {
			status, _, err := starter.Get(r.url)
			return err == nil && status == fasthttp.StatusOK
		})
		if err != nil {
			return nil, err
		}
	}
	return roads, nil
}

// drive sends one round of requests.
func (c *latency) drive(url string) (*hdrhistogram.Histogram, error) {
	client := &fasthttp.Client{MaxConnsPerHost: c.Callers}
	defer client.CloseIdleConnections()
	hists := make([]*hdrhistogram.Histogram, c.Callers)
	errs := make([]error, c.Callers)
	var callers conc.WaitGroup
	for i := range c.Callers {
		callers.Go(func() { hists[i], errs[i] = c.call(client, url) })
	}
	callers.Wait()
	sum := hdrhistogram.New(1, maxLatency, latencyDigits)
	for i, h := range hists {
		if errs[i] != nil {
			return nil, errs[i]
		}
		sum.Merge(h)
	}
	return sum, nil
}

func (c *latency) call(client *fasthttp.Client, url string) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, maxLatency, latencyDigits)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	for range c.Each {
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

func (c *latency) figures(roads []*road) []figure {
	var list []figure
	for _, r := range roads {
		list = append(list,
			plain(r.name+" p50", float64(r.hist.ValueAtQuantile(50))/1000, "ms"),
			plain(r.name+" p99, all rounds", float64(r.hist.ValueAtQuantile(99))/1000, "ms"))
	}
	// The three roads take turns, so each round gives one difference that the
	// machine's other work touches alike.
	var relays, mesh, ratio []float64
	for i, direct := range roads[0].p99s {
		relays = append(relays, roads[1].p99s[i]-direct)
		mesh = append(mesh, roads[2].p99s[i]-direct)
		ratio = append(ratio, mesh[i]/max(relays[i], 0.001))
	}
	return append(list,
		plain("relays added p99, median round", median(relays), "ms"),
		atMost("mesh added p99, median round", median(mesh), "ms", latencyLimit),
		atMost("mesh added p99 over relays added p99, median round", median(ratio), "times", relayFactor),
	)
}

// median returns the middle of the rounds, so that one disturbed round does
// not decide.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
