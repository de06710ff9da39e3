package executor

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

const (
	// loadFieldCount is the number of fields of a load header.
	loadFieldCount = 4
	// maxReportedDuration is the longest duration of a valid load report. It exceeds the
	// longest timeout of a route.
	maxReportedDuration = 7 * 24 * time.Hour
)

// WriteReport writes an owner node's report into the headers of its response.
func WriteReport(h *fasthttp.ResponseHeader, r translator.Report) {
	h.Set(checker.HeaderOutcome, string(r.Outcome))
	if r.Reason != translator.ReasonNone {
		h.Set(checker.HeaderReason, string(r.Reason))
	}
	if r.Detail != "" {
		h.Set(checker.HeaderDetail, url.QueryEscape(r.Detail))
	}
	if r.Load.Valid {
		h.Set(checker.HeaderLoad, encodeLoad(r.Load))
	}
	if !r.State.IsPlain() {
		h.Set(checker.HeaderTargetState, EncodeStates([]translator.TargetState{r.State}))
	}
}

// ReadReport returns the owner node's report in the headers of its response. A
// load report that cannot be decoded is not Valid, and a target state that cannot be
// decoded is zero.
func ReadReport(h *fasthttp.ResponseHeader) translator.Report {
	// A detail that cannot be decoded is dropped; the reason suffices.
	detail, _ := url.QueryUnescape(string(h.Peek(checker.HeaderDetail)))
	r := translator.Report{
		Detail:  detail,
		Outcome: forwarder.Outcome(h.Peek(checker.HeaderOutcome)),
		Reason:  translator.Reason(h.Peek(checker.HeaderReason)),
		Load:    decodeLoad(string(h.Peek(checker.HeaderLoad))),
	}
	if states := decodeStates(string(h.Peek(checker.HeaderTargetState))); len(states) > 0 {
		r.State = states[0]
	}
	r.Load.RateLimited = r.State.RateLimit.Named
	return r
}

// encodeLoad returns a load report as one header value, with times in
// microseconds.
func encodeLoad(l translator.LoadReport) string {
	out := strconv.Itoa(l.RequestCount)
	for _, d := range []time.Duration{l.ExpectedWait, l.ProcessingTime, l.LinkBacklog} {
		out += ";" + strconv.FormatInt(d.Microseconds(), 10)
	}
	return out
}

// decodeLoad returns the load report in a header value. A malformed value gives
// the zero LoadReport, which is not Valid.
func decodeLoad(value string) translator.LoadReport {
	f := strings.Split(value, ";")
	if len(f) != loadFieldCount {
		return translator.LoadReport{}
	}
	count, err := strconv.Atoi(f[0])
	if err != nil || count < 0 {
		return translator.LoadReport{}
	}
	l := translator.LoadReport{Valid: true, RequestCount: count}
	for i, d := range []*time.Duration{&l.ExpectedWait, &l.ProcessingTime, &l.LinkBacklog} {
		if *d, err = parseMicroseconds(f[i+1]); err != nil || *d < 0 || *d > maxReportedDuration {
			return translator.LoadReport{}
		}
	}
	return l
}
