package commands

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/process/controller"
)

const (
	requestTimeout = 6 * time.Second
	rounds         = 3 // rounds is how often every address is tried.
	roundPause     = 300 * time.Millisecond
)

// clientOptions are the options of every operator command.
type clientOptions struct {
	Addresses []string `short:"a" long:"address" env:"HORNBEAM_ADDRESS" env-delim:"," description:"Operator address of a control host; may be given several times" value-name:"IP:PORT"`
	Token     string   `short:"t" long:"token" env:"HORNBEAM_TOKEN" description:"The team's token"`
	JSON      bool     `long:"json" description:"Print JSON for programs"`
}

// Client runs hornbeamctl and returns its exit code.
func Client(args []string) int {
	var o clientOptions
	p := flags.NewNamedParser("hornbeamctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Edits sections, moves traffic and shows what the mesh reports.\n\nExit codes: 0 done, 1 failure, 2 usage, 3 conflict, 4 refused, 5 unreachable, 6 move taken back or cancelled."
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err)
	}
	addSectionCommands(p, &o)
	addMoveCommands(p, &o)
	addViewCommands(p, &o)
	addControlCommands(p, &o)
	mustAdd(p, "explain", "Print what logs say of a request",
		"Reads log files of any number of processes, or standard input, and prints the lines on one request in order of time.\n\nExample:\n  hornbeamctl explain 77b69775da3cf17d /var/log/hornbeam/*.log", &explainCommand{})
	mustAdd(p, "token", "Make a team's token",
		"Prints a new token for a team's operators and the hash for the settings of the control hosts.\n\nExample:\n  hornbeamctl token", &tokenCommand{})
	return runParser(p, args)
}

// get reads from the first control host that answers.
func (o *clientOptions) get(path string, out any) error {
	return o.call(fasthttp.MethodGet, path, nil, out)
}

// post sends an edit. It carries an edit id, so it is sent again after a lost
// answer without being carried out twice.
func (o *clientOptions) post(path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{path, KindFailure, err}
	}
	return o.call(fasthttp.MethodPost, path, body, out)
}

func (o *clientOptions) call(method, path string, body []byte, out any) error {
	if len(o.Addresses) == 0 {
		return &Error{path, KindUsage, errors.New("name a control host with --address or HORNBEAM_ADDRESS")}
	}
	var last error
	for round := range rounds {
		if round > 0 {
			time.Sleep(roundPause)
		}
		for _, address := range o.Addresses {
			status, answer, err := o.send(method, address, path, body)
			if err == nil && status != fasthttp.StatusServiceUnavailable {
				return finish(path, status, answer, out)
			}
			last = errors.WithMessage(err, address)
			if err == nil {
				last = errors.Errorf("%s: %s", address, failureText(answer))
			}
		}
	}
	return &Error{path, KindUnreachable, errors.WithMessage(last, "no control host did it")}
}

func (o *clientOptions) send(method, address, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+o.Token)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	err := fasthttp.DoTimeout(req, resp, requestTimeout)
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), err
}

func failureText(answer []byte) string {
	var f controller.ErrorResponse
	if err := json.Unmarshal(answer, &f); err != nil || f.Error == "" {
		return strings.TrimSpace(string(answer))
	}
	return f.Error
}

// finish turns an answer into a result or an error with its exit code.
func finish(path string, status int, answer []byte, out any) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusConflict, fasthttp.StatusUnprocessableEntity:
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden, fasthttp.StatusNotFound:
		return &Error{path, KindRejected, errors.New(failureText(answer))}
	case fasthttp.StatusBadRequest:
		return &Error{path, KindUsage, errors.New(failureText(answer))}
	default:
		return &Error{path, KindFailure, errors.Errorf("status %d: %s", status, failureText(answer))}
	}
	// Edits answer with a result in every case; anything else failed.
	if text := failureText(answer); status != fasthttp.StatusOK && !strings.Contains(string(answer), `"outcome"`) {
		kind := KindRejected
		if status == fasthttp.StatusConflict {
			kind = KindConflict
		}
		return &Error{path, kind, errors.New(text)}
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &Error{path, KindFailure, errors.WithMessage(err, "answer of the control host")}
	}
	return nil
}

// show prints v as JSON, or the table that fill writes.
func (o *clientOptions) show(v any, fill func(w *tabwriter.Writer)) error {
	if o.JSON {
		return errors.WithStack(json.NewEncoder(os.Stdout).Encode(v))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fill(w)
	return errors.WithStack(w.Flush())
}

func row(w *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

// newEditID returns the operator's id, or a new one.
func newEditID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

func stamp(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.DateTime)
}
