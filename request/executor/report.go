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

// loadFields is the number of fields of a load header.
const loadFields = 4

// WriteReport puts an owner's report into the headers of its answer.
func WriteReport(h *fasthttp.ResponseHeader, r translator.Report) {
	h.Set(checker.HeaderOutcome, string(r.Outcome))
	if r.Reason != translator.ReasonNone {
		h.Set(checker.HeaderReason, string(r.Reason))
	}
	if r.Detail != "" {
		h.Set(checker.HeaderDetail, url.QueryEscape(r.Detail))
	}
	if r.Load.Valid {
		h.Set(checker.HeaderLoad, writeLoad(r.Load))
	}
}

// ReadReport takes an owner's report out of the headers of its answer.
func ReadReport(h *fasthttp.ResponseHeader) translator.Report {
	// A detail that cannot be read leaves the reason to speak for itself.
	detail, _ := url.QueryUnescape(string(h.Peek(checker.HeaderDetail)))
	return translator.Report{
		Detail:  detail,
		Outcome: forwarder.Outcome(h.Peek(checker.HeaderOutcome)),
		Reason:  translator.Reason(h.Peek(checker.HeaderReason)),
		Load:    readLoad(string(h.Peek(checker.HeaderLoad))),
	}
}

func writeLoad(l translator.LoadReport) string {
	out := strconv.Itoa(l.RequestCount)
	for _, d := range []time.Duration{l.ExpectedWait, l.ProcessingTime, l.LinkBacklog} {
		out += ";" + strconv.FormatInt(d.Microseconds(), 10)
	}
	return out
}

func readLoad(value string) translator.LoadReport {
	f := strings.Split(value, ";")
	if len(f) != loadFields {
		return translator.LoadReport{}
	}
	var n [loadFields]int64
	for i := range f {
		var err error
		if n[i], err = strconv.ParseInt(f[i], 10, 64); err != nil {
			return translator.LoadReport{}
		}
	}
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return translator.LoadReport{Valid: true, RequestCount: int(n[0]), ExpectedWait: us(n[1]), ProcessingTime: us(n[2]), LinkBacklog: us(n[3])}
}
