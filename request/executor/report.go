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
const loadFields = 3

// WriteReport puts an owner's report into the headers of its answer.
func WriteReport(h *fasthttp.ResponseHeader, r translator.Report) {
	h.Set(checker.HeaderOutcome, string(r.Outcome))
	if r.Reason != translator.ReasonNone {
		h.Set(checker.HeaderReason, string(r.Reason))
	}
	if r.Detail != "" {
		h.Set(checker.HeaderDetail, url.QueryEscape(r.Detail))
	}
	if r.Load.Known {
		h.Set(checker.HeaderLoad, strconv.Itoa(r.Load.Busy)+";"+strconv.FormatInt(r.Load.Wait.Microseconds(), 10)+";"+strconv.FormatInt(r.Load.Work.Microseconds(), 10))
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

func readLoad(value string) translator.Load {
	f := strings.Split(value, ";")
	if len(f) != loadFields {
		return translator.Load{}
	}
	busy, busyErr := strconv.Atoi(f[0])
	wait, waitErr := strconv.ParseInt(f[1], 10, 64)
	work, workErr := strconv.ParseInt(f[2], 10, 64)
	if busyErr != nil || waitErr != nil || workErr != nil {
		return translator.Load{}
	}
	return translator.Load{Known: true, Busy: busy, Wait: time.Duration(wait) * time.Microsecond, Work: time.Duration(work) * time.Microsecond}
}
