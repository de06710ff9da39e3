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

// loadFieldCount is the number of fields of a load header.
const loadFieldCount = 4

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
}

// ReadReport returns the owner node's report in the headers of its response. A
// load report that cannot be decoded is not Valid.
func ReadReport(h *fasthttp.ResponseHeader) translator.Report {
	// A detail that cannot be decoded is dropped; the reason suffices.
	detail, _ := url.QueryUnescape(string(h.Peek(checker.HeaderDetail)))
	return translator.Report{
		Detail:  detail,
		Outcome: forwarder.Outcome(h.Peek(checker.HeaderOutcome)),
		Reason:  translator.Reason(h.Peek(checker.HeaderReason)),
		Load:    decodeLoad(string(h.Peek(checker.HeaderLoad))),
	}
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
	var n [loadFieldCount]int64
	for i := range f {
		var err error
		if n[i], err = strconv.ParseInt(f[i], 10, 64); err != nil {
			return translator.LoadReport{}
		}
	}
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return translator.LoadReport{Valid: true, RequestCount: int(n[0]), ExpectedWait: us(n[1]), ProcessingTime: us(n[2]), LinkBacklog: us(n[3])}
}
