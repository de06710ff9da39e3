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
		h.Set(checker.HeaderLoad, strconv.Itoa(r.Load.Busy)+";"+strconv.FormatInt(r.Load.Wait.Microseconds(), 10))
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
	busy, wait, ok := strings.Cut(value, ";")
	n, busyErr := strconv.Atoi(busy)
	us, waitErr := strconv.ParseInt(wait, 10, 64)
	if !ok || busyErr != nil || waitErr != nil {
		return translator.Load{}
	}
	return translator.Load{Known: true, Busy: n, Wait: time.Duration(us) * time.Microsecond}
}
